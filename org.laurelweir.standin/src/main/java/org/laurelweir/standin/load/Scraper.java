package org.laurelweir.standin.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.standin.AdminEndpoints;
import org.laurelweir.standin.Json;

/** Reads the execution logs of stand-ins and the metrics pages of routers. */
final class Scraper {
    static final String CONTROL_BYTES = "laurelweir_control_bytes_total";

    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * Returns the runs that a stand-in holds.
     *
     * @param prefix {@code /engine} or {@code /plain}
     */
    AdminEndpoints.Executions executions(URI standin, String prefix) {
        String body = get(standin + prefix + "/executions");
        return Json.read(body.getBytes(StandardCharsets.UTF_8), AdminEndpoints.Executions.class);
    }

    /** Returns the control bytes that a router has counted since its start. */
    long controlBytes(URI metrics) {
        return controlBytes(get(metrics.toString()));
    }

    /** Returns the sum of the control bytes counter on a metrics page over all its labels. */
    static long controlBytes(String page) {
        return (long)
                page.lines().filter(Scraper::isControlBytes).mapToDouble(Scraper::value).sum();
    }

    private static boolean isControlBytes(String line) {
        return line.startsWith(CONTROL_BYTES + " ") || line.startsWith(CONTROL_BYTES + "{");
    }

    /**
     * Returns the value on a line, which has a name, labels in braces, the value and an optional
     * timestamp.
     */
    private static double value(String line) {
        String rest = line.substring(Math.max(line.lastIndexOf('}') + 1, CONTROL_BYTES.length()));
        return Double.parseDouble(rest.strip().split("\\s+")[0]);
    }

    private String get(String url) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).build();
            HttpResponse<String> r = mClient.send(request, BodyHandlers.ofString());
            if (r.statusCode() != OK) {
                throw new LaurelweirException(
                        ResultCode.UNREACHABLE, url + ": status " + r.statusCode());
            }
            return r.body();
        } catch (IOException e) {
            throw new LaurelweirException(ResultCode.UNREACHABLE, url + ": " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new LaurelweirException(
                    ResultCode.UNREACHABLE, url + ": interrupted while waiting for the answer", e);
        }
    }
}
