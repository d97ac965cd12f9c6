package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.XYPlot;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Charts of the time series of trials, written as SVG and PNG files. */
final class Charts {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 360;
    private static final double WINDOW_SECONDS = 5;

    private Charts() {}

    /** Draws the service of several trials of a scenario in windows of 5 s, one curve per trial. */
    static void drawService(Path folder, String name, List<JsonNode> trials) throws IOException {
        XYSeriesCollection curves = new XYSeriesCollection();
        for (JsonNode trial : trials) {
            XYSeries curve =
                    new XYSeries(
                            trial.path("setting").asText()
                                    + ", seed "
                                    + trial.path("seed").asLong(),
                            false,
                            true);
            JsonNode windows = trial.path("windows");
            for (int i = 0; i < windows.size(); i++) {
                curve.add(i * WINDOW_SECONDS, windows.get(i).asDouble());
            }
            curves.addSeries(curve);
        }
        draw(folder, name + "-service", "service by 5 s (simulated)", "service", curves);
    }

    /**
     * Draws columns of a trial's samples, which are taken once per second.
     *
     * @param names names of the columns
     * @param firstColumn index of the first column in a sample
     */
    static void drawSamples(
            Path folder,
            String name,
            String title,
            String axis,
            JsonNode trial,
            List<String> names,
            int firstColumn)
            throws IOException {
        XYSeriesCollection curves = new XYSeriesCollection();
        for (int column = 0; column < names.size(); column++) {
            XYSeries curve = new XYSeries(names.get(column), false, true);
            for (JsonNode row : trial.path("samples")) {
                curve.add(row.get(0).asDouble(), row.path(firstColumn + column).asDouble());
            }
            curves.addSeries(curve);
        }
        draw(folder, name, title + " (simulated)", axis, curves);
    }

    private static void draw(
            Path folder, String name, String title, String axis, XYSeriesCollection curves)
            throws IOException {
        JFreeChart chart = ChartFactory.createXYLineChart(title, "s", axis, curves);
        chart.setBackgroundPaint(Color.WHITE);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        SVGGraphics2D svg = new SVGGraphics2D(WIDTH_PIXELS, HEIGHT_PIXELS);
        chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH_PIXELS, HEIGHT_PIXELS));
        Files.writeString(folder.resolve(name + ".svg"), svg.getSVGDocument());
        File png = folder.resolve(name + ".png").toFile();
        ChartUtils.saveChartAsPNG(png, chart, WIDTH_PIXELS, HEIGHT_PIXELS);
    }
}
