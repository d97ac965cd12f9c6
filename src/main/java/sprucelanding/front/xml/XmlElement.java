package sprucelanding.front.xml;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * An XML element, read without document types and external entities, within bounds of depth and
 * number.
 */
public final class XmlElement {
    private static final int MAX_DEPTH = 32;
    private static final int MAX_ELEMENTS = 100_000;
    private static final XMLInputFactory FACTORY = XMLInputFactory.newDefaultFactory();

    static {
        FACTORY.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        FACTORY.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        FACTORY.setProperty(XMLInputFactory.IS_REPLACING_ENTITY_REFERENCES, false);
        FACTORY.setXMLResolver(
                (publicId, systemId, base, namespace) -> new ByteArrayInputStream(new byte[0]));
    }

    public final String namespace;
    public final String name;

    /** By local name. */
    public final Map<String, String> attributes = new LinkedHashMap<>();

    public final List<XmlElement> children = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();

    private XmlElement(String namespace, String name) {
        this.namespace = namespace == null ? "" : namespace;
        this.name = name;
    }

    /** Reads a whole document; IOException for what is no XML, or is past the bounds. */
    public static XmlElement parse(byte[] document) throws IOException {
        XMLStreamReader reader = null;
        try {
            reader = FACTORY.createXMLStreamReader(new ByteArrayInputStream(document));
            List<XmlElement> openElements = new ArrayList<>();
            XmlElement root = null;
            int count = 0;
            while (reader.hasNext()) {
                int event = reader.next();
                if (event == XMLStreamConstants.START_ELEMENT) {
                    if (openElements.size() >= MAX_DEPTH || ++count > MAX_ELEMENTS) {
                        throw new IOException(
                                "more than "
                                        + MAX_DEPTH
                                        + " levels or "
                                        + MAX_ELEMENTS
                                        + " elements");
                    }
                    XmlElement element =
                            new XmlElement(reader.getNamespaceURI(), reader.getLocalName());
                    for (int i = 0; i < reader.getAttributeCount(); i++) {
                        element.attributes.put(
                                reader.getAttributeLocalName(i), reader.getAttributeValue(i));
                    }
                    if (openElements.isEmpty()) {
                        root = element;
                    } else {
                        openElements.get(openElements.size() - 1).children.add(element);
                    }
                    openElements.add(element);
                } else if (event == XMLStreamConstants.END_ELEMENT) {
                    openElements.remove(openElements.size() - 1);
                } else if ((event == XMLStreamConstants.CHARACTERS
                                || event == XMLStreamConstants.CDATA)
                        && !openElements.isEmpty()) {
                    openElements.get(openElements.size() - 1).text.append(reader.getText());
                } else if (event == XMLStreamConstants.DTD
                        || event == XMLStreamConstants.ENTITY_REFERENCE) {
                    throw new IOException("document types and entities are not taken");
                }
            }
            if (root == null) {
                throw new IOException("no element");
            }
            return root;
        } catch (XMLStreamException | RuntimeException e) {
            throw new IOException("no XML: " + e.getMessage(), e);
        } finally {
            if (reader != null) {
                try {
                    reader.close();
                } catch (XMLStreamException e) {
                    // read already
                }
            }
        }
    }

    public String text() {
        return text.toString().trim();
    }

    /** The first child of that name; null if there is none. */
    public XmlElement child(String name) {
        for (XmlElement child : children) {
            if (child.name.equals(name)) {
                return child;
            }
        }
        return null;
    }

    public List<XmlElement> childrenNamed(String name) {
        return children.stream().filter(element -> element.name.equals(name)).toList();
    }

    /** A child's text; empty if there is no such child. */
    public String text(String name) {
        XmlElement child = child(name);
        return child == null ? "" : child.text();
    }

    /** Text as it may stand in an element or an attribute. */
    public static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
