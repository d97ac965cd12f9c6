package sprucelanding.front.xml;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Reader of one XML document into {@link XmlElement}s. Rejects document types and entity
 * references, never resolves external entities, and limits the depth and the number of elements. A
 * peer can therefore not make the reader open files or exhaust memory. Not thread-safe.
 */
final class XmlDocumentReader {
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

    private final XMLStreamReader reader;
    private final Deque<XmlElement> openElements = new ArrayDeque<>();
    private XmlElement root;
    private int elementCount;

    private XmlDocumentReader(XMLStreamReader reader) {
        this.reader = reader;
    }

    static XmlElement read(byte[] document) throws IOException {
        XMLStreamReader reader = null;
        try {
            reader = FACTORY.createXMLStreamReader(new ByteArrayInputStream(document));
            return new XmlDocumentReader(reader).readRoot();
        } catch (XMLStreamException | RuntimeException e) {
            // The JDK's reader throws unchecked exceptions of several types on malformed input.
            throw new MalformedMessageException("not well-formed XML: " + e.getMessage(), e);
        } finally {
            close(reader);
        }
    }

    private static void close(XMLStreamReader reader) {
        if (reader == null) {
            return;
        }
        try {
            reader.close();
        } catch (XMLStreamException e) {
            // Ignored: the document was read from memory, so nothing is lost and no file is open.
        }
    }

    private XmlElement readRoot() throws XMLStreamException, MalformedMessageException {
        while (reader.hasNext()) {
            onEvent(reader.next());
        }
        if (root == null) {
            throw new MalformedMessageException("document without an element");
        }
        return root;
    }

    private void onEvent(int event) throws MalformedMessageException {
        switch (event) {
            case XMLStreamConstants.START_ELEMENT -> onStartElement();
            case XMLStreamConstants.END_ELEMENT -> openElements.pop();
            case XMLStreamConstants.CHARACTERS, XMLStreamConstants.CDATA -> onText();
            case XMLStreamConstants.DTD, XMLStreamConstants.ENTITY_REFERENCE ->
                    throw new MalformedMessageException(
                            "document types and entity references are not accepted");
            default -> {
                // Comments, processing instructions and space outside the root are ignored.
            }
        }
    }

    private void onStartElement() throws MalformedMessageException {
        elementCount++;
        if (openElements.size() >= MAX_DEPTH || elementCount > MAX_ELEMENTS) {
            throw new MalformedMessageException(
                    "document exceeds " + MAX_DEPTH + " levels or " + MAX_ELEMENTS + " elements");
        }
        XmlElement element = new XmlElement(reader.getNamespaceURI(), reader.getLocalName());
        for (int i = 0; i < reader.getAttributeCount(); i++) {
            element.attributes.put(reader.getAttributeLocalName(i), reader.getAttributeValue(i));
        }
        if (openElements.isEmpty()) {
            root = element;
        } else {
            openElements.peek().children.add(element);
        }
        openElements.push(element);
    }

    private void onText() {
        if (!openElements.isEmpty()) {
            openElements.peek().appendText(reader.getText());
        }
    }
}
