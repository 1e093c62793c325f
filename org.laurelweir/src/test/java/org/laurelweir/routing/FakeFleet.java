package org.laurelweir.routing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.quarantine.CrashDelta;

/**
 * A fake fleet of two routers, three sidecars and control's claims. Records what callers received
 * and what engines ran. All of it runs on one thread, in an order that a seed determines.
 */
final class FakeFleet {
    static final RequestPolicy POLICY =
            new RequestPolicy(
                    1.25,
                    3,
                    0.2,
                    Duration.ofMillis(5),
                    Duration.ofMillis(50),
                    1,
                    1_000,
                    1_000_000,
                    Duration.ofHours(1),
                    Duration.ofMillis(200));

    private static final int ROUTERS = 2;
    private static final int SIDECARS = 3;

    final List<FakeSidecar.Execution> mExecutions = new ArrayList<>();
    final List<Caller> mCallers = new ArrayList<>();
    final FakeNetwork mNetwork;
    int mDeliveredAttempts;

    private final Random mRandom;
    private final List<RouterReducer> mRouters = new ArrayList<>();
    private final List<FakeSidecar> mSidecars = new ArrayList<>();
    private final FakeControl mControl = new FakeControl();
    private final Map<String, Stream> mStreams = new HashMap<>();
    private Instant mNow = Instant.EPOCH;
    private long mVersion;

    /** A caller, its request, and what it received. */
    static final class Caller {
        final int mRouter;
        final CallerRequest mRequest;
        final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
        int mFinalAnswers;
        ResultCode mCode;
        boolean mGone;

        Caller(int router, CallerRequest request) {
            mRouter = router;
            mRequest = request;
        }
    }

    /**
     * A stream. From some point on, either direction may drop all messages, or the stream may be
     * lost.
     */
    private static final class Stream {
        private AttemptId mAttempt;
        private FakeSidecar mSidecar;
        private boolean mDropsToSidecar;
        private boolean mDropsToRouter;
        private boolean mLost;
        private boolean mBeginDelivered;
    }

    FakeFleet(long seed) {
        mRandom = new Random(seed);
        mNetwork = new FakeNetwork(mRandom);
        for (int i = 0; i < ROUTERS; i++) {
            RouterConfig config = new RouterConfig("r" + i, 1, seed, Duration.ofSeconds(1), 16);
            mRouters.add(new RouterReducer(config));
        }
        for (int i = 0; i < SIDECARS; i++) {
            mSidecars.add(new FakeSidecar("s" + i, mRandom, mExecutions));
        }
        announceSidecars();
    }

    void setFaults(double rate, boolean flaky) {
        mNetwork.setFaultRate(rate);
        mSidecars.forEach(s -> s.setFlaky(flaky));
    }

    /** Makes the engines of some sidecars fail every request. */
    void breakEngines(int count) {
        mSidecars.subList(0, count).forEach(FakeSidecar::breakEngine);
    }

    /** Sends a full view with all sidecars to each router. */
    void announceSidecars() {
        mVersion++;
        List<Backend> backends =
                mSidecars.stream()
                        .map(s -> s.ref())
                        .map(r -> new Backend(r, "svc", "dc", "rg", r.id(), SERVING, 1, 1))
                        .toList();
        MembershipCursor cursor = new MembershipCursor("c", 1, mVersion);
        MembershipDelta delta = new MembershipDelta(cursor, true, backends);
        for (int i = 0; i < ROUTERS; i++) {
            stepRouter(
                    i,
                    new RouterEvent.ExchangeAnswered(
                            delta,
                            CrashDelta.NONE,
                            LoadDigest.NONE,
                            List.of(),
                            ROUTERS,
                            PlacementRules.NONE));
        }
    }

    private static final Backend.State SERVING = Backend.State.SERVING;

    /**
     * Sends a request. It must run at most once if it has a key or if {@code idempotent} is false.
     */
    Caller sendRequest(int router, String body, boolean idempotent, String key) {
        AttemptRequest.Call call =
                new AttemptRequest.Call(
                        "POST", "/x", List.of(), body.getBytes(StandardCharsets.UTF_8), false);
        CallerRequest request =
                new CallerRequest(
                        "acc",
                        "svc",
                        1 + mRandom.nextInt(5),
                        false,
                        call,
                        idempotent,
                        key,
                        Duration.ofSeconds(20),
                        5,
                        new AttemptRequest.Cost(1, 1),
                        POLICY,
                        OutlierConfig.DEFAULT);
        Caller c = new Caller(router, request);
        mCallers.add(c);
        stepRouter(router, new RouterEvent.RequestArrived(mCallers.size(), request));
        return c;
    }

    /** Runs one random step: time passes, a sidecar works or a message arrives. */
    void step() {
        int choice = mRandom.nextInt(10);
        if (choice < 3) {
            mNow = mNow.plusMillis(1 + mRandom.nextInt(30));
            for (int i = 0; i < ROUTERS; i++) {
                stepRouter(i, new RouterEvent.Tick());
            }
        } else if (choice < 6) {
            mSidecars.get(mRandom.nextInt(SIDECARS)).advanceOne();
        } else {
            mNetwork.deliverOne();
        }
        if (mNetwork.drawsFault() && mRandom.nextInt(4) == 0) {
            injectFault();
        }
    }

    /** Returns whether every caller has its answer or is gone, and no message is in flight. */
    boolean isSettled() {
        return mCallers.stream().allMatch(c -> c.mGone || c.mFinalAnswers > 0)
                && mNetwork.isEmpty();
    }

    private void injectFault() {
        if (mRandom.nextInt(6) == 0) {
            mSidecars.get(mRandom.nextInt(SIDECARS)).restart();
            announceSidecars();
            return;
        }
        if (mRandom.nextInt(8) == 0 && !mCallers.isEmpty()) {
            disconnectCaller(mRandom.nextInt(mCallers.size()));
            return;
        }
        List<String> names = new ArrayList<>(mStreams.keySet());
        if (names.isEmpty()) {
            return;
        }
        names.sort(null);
        String name = names.get(mRandom.nextInt(names.size()));
        breakStream(name, mStreams.get(name));
    }

    private void disconnectCaller(int index) {
        Caller c = mCallers.get(index);
        if (c.mFinalAnswers == 0 && !c.mGone) {
            c.mGone = true;
            stepRouter(c.mRouter, new RouterEvent.CallerGone(index + 1));
        }
    }

    private void breakStream(String name, Stream s) {
        switch (mRandom.nextInt(3)) {
            case 0 -> s.mDropsToSidecar = true;
            case 1 -> s.mDropsToRouter = true;
            default -> {
                mStreams.remove(name);
                s.mLost = true;
                // The router may be told that nothing was sent only if the first message can't
                // arrive.
                s.mDropsToSidecar = !s.mBeginDelivered && mRandom.nextBoolean();
                String[] nameParts = name.split("/");
                stepRouter(
                        Integer.parseInt(nameParts[0]),
                        new RouterEvent.StreamLost(
                                Long.parseLong(nameParts[1]), !s.mDropsToSidecar, "lost"));
            }
        }
    }

    private void stepRouter(int router, RouterEvent event) {
        List<RouterEffect> effects = new ArrayList<>();
        mRouters.get(router).step(mNow, event, effects::add);
        effects.forEach(e -> execute(router, e));
    }

    private void execute(int router, RouterEffect effect) {
        if (effect instanceof RouterEffect.BeginAttempt e) {
            onBegin(router, e);
        } else if (effect instanceof RouterEffect.ResumeAttempt e) {
            Stream s = openStream(router, e.stream(), e.attempt(), e.address());
            sendToSidecar(
                    s,
                    () ->
                            s.mSidecar.resume(
                                    e.attempt(),
                                    e.target(),
                                    e.offset(),
                                    frameSender(router, e.stream(), s)));
        } else if (effect instanceof RouterEffect.CancelAttempt e) {
            Stream s = mStreams.remove(router + "/" + e.stream());
            if (s != null) {
                sendToSidecar(s, () -> s.mSidecar.cancel(s.mAttempt));
            }
        } else if (effect instanceof RouterEffect.DropStream e) {
            mStreams.remove(router + "/" + e.stream());
        } else if (effect instanceof RouterEffect.Revoke e) {
            onRevoke(router, e);
        } else if (effect instanceof RouterEffect.Claim e) {
            mNetwork.sendUnreliably(
                    "claim",
                    () -> {
                        RouterEvent answer = mControl.claim(e);
                        mNetwork.sendUnreliably("claimed", () -> stepRouter(router, answer));
                    });
        } else if (effect instanceof RouterEffect.SettleClaim e) {
            mNetwork.sendUnreliably("settle", () -> mControl.settle(e));
        } else {
            onAnswer(router, effect);
        }
    }

    private void onBegin(int router, RouterEffect.BeginAttempt e) {
        Stream s = openStream(router, e.stream(), e.request().id(), e.address());
        String otherSidecar = mSidecars.get(mRandom.nextInt(SIDECARS)).ref().id();
        Consumer<Frame> reader = frameSender(router, e.stream(), s);
        sendToSidecar(
                s,
                () -> {
                    s.mBeginDelivered = true;
                    mDeliveredAttempts++;
                    s.mSidecar.begin(e.request(), otherSidecar, reader);
                });
    }

    private Stream openStream(int router, long stream, AttemptId attempt, String address) {
        Stream s = new Stream();
        s.mAttempt = attempt;
        s.mSidecar = mSidecars.stream().filter(x -> x.ref().id().equals(address)).findAny().get();
        mStreams.put(router + "/" + stream, s);
        return s;
    }

    private void sendToSidecar(Stream s, Runnable arrival) {
        mNetwork.send(
                s,
                () -> {
                    if (!s.mDropsToSidecar) {
                        arrival.run();
                    }
                });
    }

    private Consumer<Frame> frameSender(int router, long stream, Stream s) {
        return frame -> {
            mNetwork.sendUnreliably(
                    s.mAttempt,
                    () -> {
                        if (!s.mDropsToRouter && !s.mLost) {
                            long targetStream =
                                    mNetwork.drawsFault() ? 1 + mRandom.nextInt(20) : stream;
                            stepRouter(router, toEvent(s, targetStream, frame));
                        }
                    });
        };
    }

    private static RouterEvent toEvent(Stream s, long targetStream, Frame frame) {
        if (frame == FakeSidecar.STREAM_CLOSED) {
            return new RouterEvent.StreamLost(targetStream, true, "closed");
        }
        return new RouterEvent.FrameArrived(targetStream, FakeSidecar.frame(s.mAttempt, frame));
    }

    private void onRevoke(int router, RouterEffect.Revoke e) {
        FakeSidecar sidecar =
                mSidecars.stream().filter(x -> x.ref().id().equals(e.address())).findAny().get();
        mNetwork.sendUnreliably(
                e,
                () -> {
                    var state = sidecar.revoke(e.attempt(), e.target());
                    RouterEvent answer =
                            new RouterEvent.RevokeAnswered(e.caller(), e.attempt(), state);
                    mNetwork.sendUnreliably(e, () -> stepRouter(router, answer));
                });
    }

    private void onAnswer(int router, RouterEffect effect) {
        if (effect instanceof RouterEffect.AnswerData e) {
            Caller c = mCallers.get((int) e.caller() - 1);
            c.mBytes.writeBytes(e.bytes());
            long consumedBytes = c.mBytes.size();
            mNetwork.send(
                    c,
                    () ->
                            stepRouter(
                                    router,
                                    new RouterEvent.OutputConsumed(e.caller(), consumedBytes)));
        } else if (effect instanceof RouterEffect.AnswerEnd e) {
            finish(e.caller(), ResultCode.OK);
        } else if (effect instanceof RouterEffect.AnswerError e) {
            finish(e.caller(), e.code());
        }
    }

    private void finish(long caller, ResultCode code) {
        Caller c = mCallers.get((int) caller - 1);
        c.mFinalAnswers++;
        c.mCode = code;
    }
}
