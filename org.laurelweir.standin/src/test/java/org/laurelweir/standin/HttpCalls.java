package org.laurelweir.standin;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Sends HTTP calls to a stand-in under test. */
public final class HttpCalls {
    private static final int TIMEOUT_SECONDS = 60;

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String mBase;

    /** Creates a client of one server. */
    public HttpCalls(InetSocketAddress server) {
        mBase = "http://" + server.getHostString() + ":" + server.getPort();
    }

    /** Sends a call and returns its future answer; headers are names and values, alternating. */
    public CompletableFuture<HttpResponse<String>> send(
            String method, String path, String body, String... headers) {
        HttpRequest.Builder b =
                HttpRequest.newBuilder(URI.create(mBase + path))
                        .method(method, BodyPublishers.ofString(body));
        if (headers.length > 0) {
            b.headers(headers);
        }
        return mClient.sendAsync(b.build(), BodyHandlers.ofString());
    }

    /** Sends a call and waits for its answer. */
    public HttpResponse<String> call(String method, String path, String body, String... headers) {
        return await(send(method, path, body, headers));
    }

    /** Waits for a result and returns it; a failure, or no result after 60 s, fails the test. */
    public static <T> T await(CompletableFuture<T> result) {
        try {
            return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Returns the executions that a stand-in holds.
     *
     * @param prefix {@code /engine} or {@code /plain}
     */
    public AdminEndpoints.Executions executions(String prefix) {
        String body = call("GET", prefix + "/executions", "").body();
        return Json.read(body.getBytes(StandardCharsets.UTF_8), AdminEndpoints.Executions.class);
    }
}
