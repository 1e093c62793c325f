package org.laurelweir.standin.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends requests to the routers in turn, as a load balancer does. A request that is refused with a
 * Retry-After header is retried after that time, at the next router. Any other failure is final.
 */
final class RouterCaller {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final LoadPlan mPlan;
    private final Results mResults;
    private final AtomicInteger mNextRouter = new AtomicInteger();

    /**
     * One request.
     *
     * @param headers names and values, alternating
     */
    record Call(String method, String path, String body, List<String> headers) {}

    RouterCaller(LoadPlan plan, Results results) {
        mPlan = plan;
        mResults = results;
    }

    /** Sends a request, with retries, and waits for its answer. */
    Reply call(Call call) throws InterruptedException {
        Reply r = attempt(call);
        int retries = mPlan.retries();
        while (retries > 0 && r.retryAfterSeconds().isPresent()) {
            retries--;
            mResults.countRefused(r.errorCode());
            TimeUnit.SECONDS.sleep(r.retryAfterSeconds().getAsLong());
            r = attempt(call);
        }
        return r;
    }

    private Reply attempt(Call call) throws InterruptedException {
        AnswerLines lines = new AnswerLines();
        long start = System.nanoTime();
        CompletableFuture<HttpResponse<Void>> sent =
                mClient.sendAsync(request(call), BodyHandlers.fromLineSubscriber(lines));
        try {
            HttpResponse<Void> r = sent.get(mPlan.timeout().toMillis(), TimeUnit.MILLISECONDS);
            return new Reply(r.statusCode(), lines, start, System.nanoTime(), null, retryAfter(r));
        } catch (TimeoutException e) {
            sent.cancel(true);
            return Reply.failed(lines, start, "timeout");
        } catch (ExecutionException e) {
            return Reply.failed(lines, start, "connection");
        }
    }

    private HttpRequest request(Call call) {
        int turn = Math.floorMod(mNextRouter.getAndIncrement(), mPlan.routers().size());
        String base = mPlan.routers().get(turn).toString();
        HttpRequest.Builder b =
                HttpRequest.newBuilder(URI.create(base + call.path()))
                        .headers(call.headers().toArray(String[]::new));
        if (call.body().isEmpty()) {
            return b.method(call.method(), BodyPublishers.noBody()).build();
        }
        return b.header("Content-Type", "application/json")
                .method(call.method(), BodyPublishers.ofString(call.body()))
                .build();
    }

    private static OptionalLong retryAfter(HttpResponse<Void> r) {
        boolean refused = r.statusCode() == TOO_MANY_REQUESTS || r.statusCode() == UNAVAILABLE;
        return refused ? r.headers().firstValueAsLong("Retry-After") : OptionalLong.empty();
    }
}
