package sprucelanding.front.xml;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An XML element with its attributes, children and text. {@link XmlDocumentReader} builds elements.
 * An element is not thread-safe while it is built, and read-only afterwards.
 */
public final class XmlElement {
    /** The URI of the namespace; empty for none. */
    public final String namespace;

    /** The element's local name. */
    public final String name;

    /** The values of the attributes by local name, in the document's order. */
    public final Map<String, String> attributes = new LinkedHashMap<>();

    /** The child elements in the document's order. */
    public final List<XmlElement> children = new ArrayList<>();

    private final StringBuilder text = new StringBuilder();

    XmlElement(String namespace, String name) {
        this.namespace = namespace == null ? "" : namespace;
        this.name = name;
    }

    /**
     * Parses a complete document.
     *
     * @return the document's root element
     * @throws MalformedMessageException if the document isn't well-formed XML, has a document type
     *     or entity references, or exceeds the limits of {@link XmlDocumentReader}
     */
    public static XmlElement parse(byte[] document) throws IOException {
        return XmlDocumentReader.read(document);
    }

    void appendText(String part) {
        text.append(part);
    }

    /** Returns the text directly in this element, without leading and trailing space. */
    public String text() {
        return text.toString().trim();
    }

    /** Returns the first child with a local name; null if there is none. */
    public XmlElement child(String childName) {
        for (XmlElement child : children) {
            if (child.name.equals(childName)) {
                return child;
            }
        }
        return null;
    }

    /** Returns all children with a local name, in the document's order. */
    public List<XmlElement> childrenNamed(String childName) {
        return children.stream().filter(element -> element.name.equals(childName)).toList();
    }

    /** Returns the text of the first child with a local name; empty if there is no such child. */
    public String text(String childName) {
        XmlElement child = child(childName);
        return child == null ? "" : child.text();
    }

    /** Escapes text for use in an element's content or in an attribute in double quotes. */
    public static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
