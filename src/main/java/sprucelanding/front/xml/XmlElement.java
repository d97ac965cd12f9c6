package sprucelanding.front.xml;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An XML element with its attributes, children and text; built by {@link XmlDocumentReader}. Not
 * thread-safe while it is built, read-only afterwards.
 */
public final class XmlElement {
    /** The namespace's URI; empty for none. */
    public final String namespace;

    /** The local name. */
    public final String name;

    /** Attributes' values by local name, in the document's order. */
    public final Map<String, String> attributes = new LinkedHashMap<>();

    /** Child elements in the document's order. */
    public final List<XmlElement> children = new ArrayList<>();

    private final StringBuilder text = new StringBuilder();

    XmlElement(String namespace, String name) {
        this.namespace = namespace == null ? "" : namespace;
        this.name = name;
    }

    /**
     * Reads a whole document.
     *
     * @return its root element
     * @throws MalformedMessageException if it isn't well-formed XML, has a document type or entity
     *     references, or exceeds the bounds of {@link XmlDocumentReader}
     */
    public static XmlElement parse(byte[] document) throws IOException {
        return XmlDocumentReader.read(document);
    }

    void appendText(String part) {
        text.append(part);
    }

    /** The text directly in this element, without the space around it. */
    public String text() {
        return text.toString().trim();
    }

    /** The first child of that local name; null if there is none. */
    public XmlElement child(String childName) {
        for (XmlElement child : children) {
            if (child.name.equals(childName)) {
                return child;
            }
        }
        return null;
    }

    /** All children of that local name, in the document's order. */
    public List<XmlElement> childrenNamed(String childName) {
        return children.stream().filter(element -> element.name.equals(childName)).toList();
    }

    /** The text of the first child of that local name; empty if there is no such child. */
    public String text(String childName) {
        XmlElement child = child(childName);
        return child == null ? "" : child.text();
    }

    /** Escapes text for an element's content or an attribute in double quotes. */
    public static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
