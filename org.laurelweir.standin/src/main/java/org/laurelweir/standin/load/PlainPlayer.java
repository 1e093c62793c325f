package org.laurelweir.standin.load;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.Prompt;
import org.laurelweir.standin.plain.PlainAnswer;

/**
 * Sends calls to plain services and checks the answers. Every second call for each path is a POST
 * with its own idempotency key.
 */
final class PlainPlayer {
    private final LoadPlan mPlan;
    private final RouterCaller mCaller;
    private final Results mResults;

    /** The body of a POST. */
    private record Booking(String reference, int berth) {}

    PlainPlayer(LoadPlan plan, RouterCaller caller, Results results) {
        mPlan = plan;
        mCaller = caller;
        mResults = results;
    }

    /** Sends the call with a number and waits for its answer. */
    void play(int number) throws InterruptedException {
        RouterCaller.Call call = call(number);
        mResults.countSent();
        Reply reply = mCaller.call(call);
        if (!reply.isOk()) {
            mResults.countFailed(reply.errorCode());
        } else if (isOwn(call, reply)) {
            mResults.countAnswered(reply);
        } else {
            mResults.countFailed("plain_answer_not_own");
        }
    }

    private RouterCaller.Call call(int number) {
        List<String> paths = mPlan.plain().paths();
        String path = paths.get(number % paths.size());
        String name = "plain-" + Long.toHexString(mPlan.seed()) + "-" + number;
        Random random = new Random(mPlan.seed() + ~number);
        String bearer = "Bearer " + mPlan.accounts().draw(random);
        List<String> headers = List.of("Authorization", bearer, "X-Request-Id", name);
        if (number / paths.size() % 2 == 0) {
            return new RouterCaller.Call("GET", path + "/" + number, "", headers);
        }
        List<String> withKey =
                List.of(
                        "Authorization",
                        bearer,
                        "X-Request-Id",
                        name,
                        "Idempotency-Key",
                        "key-" + name);
        String body = Json.write(new Booking(name, random.nextInt(100)));
        return new RouterCaller.Call("POST", path, body, withKey);
    }

    /**
     * Returns whether the answer describes this call. A router may strip the service's prefix from
     * the path, so the answer's path may be shorter.
     */
    private static boolean isOwn(RouterCaller.Call call, Reply reply) {
        try {
            byte[] json = reply.lines().body().getBytes(StandardCharsets.UTF_8);
            PlainAnswer a = Json.read(json, PlainAnswer.class);
            byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
            return call.method().equals(a.method())
                    && a.path() != null
                    && call.path().endsWith(a.path())
                    && Prompt.digest(body).equals(a.digest());
        } catch (LaurelweirException e) {
            return false;
        }
    }
}
