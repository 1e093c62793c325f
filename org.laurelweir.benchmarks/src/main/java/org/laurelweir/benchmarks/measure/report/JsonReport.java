package org.laurelweir.benchmarks.measure.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.laurelweir.benchmarks.measure.fleet.CacheReuse;
import org.laurelweir.benchmarks.measure.fleet.RunMeasurements;

/** Writes a comparison as measure.json. */
public final class JsonReport {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private JsonReport() {}

    /** Writes the file into the folder and replaces an existing one. */
    public static void write(Comparison c, Path folder) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("seed", c.seed());
        root.set("deployment", MAPPER.valueToTree(c.deployment()));
        ObjectNode policies = root.putObject("policies");
        c.figures()
                .forEach(
                        (p, f) -> {
                            ObjectNode node = figures(f);
                            node.put("churnReuseOfAllKnowing", c.churnReuseOfOracle(p));
                            policies.set(p.title(), node);
                        });
        try {
            Files.createDirectories(folder);
            MAPPER.writeValue(folder.resolve("measure.json").toFile(), root);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ObjectNode figures(RunMeasurements f) {
        ObjectNode node = MAPPER.createObjectNode();
        double[] skew = f.skew();
        node.put("arrivals", f.arrivals());
        node.put("reuse", f.reuse().share());
        node.put("reuseInChurn", f.reuse().churnShare());
        node.put("skewP50", Comparison.percentile(skew, 50));
        node.put("skewP99", Comparison.percentile(skew, 99));
        node.put("skewMax", Comparison.percentile(skew, 100));
        node.put("admittedOverFactor", f.startedOverFactor());
        node.put("controlBytesPerSecond", f.controlBytesPerRouter());
        node.put(
                "controlBytesPerSecondAtTarget",
                f.controlBytesPerRouterAt(
                        Comparison.TARGET_WORKERS, Comparison.TARGET_REQUESTS_PER_ROUTER));
        node.put("addedHops", f.meanHops());
        node.put("addedHopsP99", f.p99Hops());
        node.put("deadlinesMet", f.deadlinesMet());
        node.put("firstTokenP50Millis", f.firstTokenMillis(50));
        node.put("firstTokenP95Millis", f.firstTokenMillis(95));
        node.put("cutByCrash", f.cutAnswers());
        node.set("rejectionsByAccount", MAPPER.valueToTree(f.rejections()));
        node.set("arrivalsByAccount", MAPPER.valueToTree(f.arrivalsByAccount()));
        node.put("reuseStepSeconds", CacheReuse.STEP_SECONDS);
        node.set("reuseSeries", MAPPER.valueToTree(f.reuse().series()));
        node.set("skewSeries", MAPPER.valueToTree(skew));
        return node;
    }
}
