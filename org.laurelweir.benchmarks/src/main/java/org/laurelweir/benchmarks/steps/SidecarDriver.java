package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.admission.SidecarIdentity;
import org.laurelweir.admission.SidecarReducer;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/** Passes events to a sidecar's reducer in place of the sidecar process. */
final class SidecarDriver {
    private static final int ACCOUNTS = 100;

    private final BackendRef mSelf = SampleData.backend(0, SampleData.service(0), 1).ref();
    private final SidecarReducer mSidecar;
    private Instant mNow = Instant.EPOCH;
    private long mRequests;
    private long mStartedCalls;
    private long mVersion = 1;

    /**
     * Creates a driver.
     *
     * @param backends number of backend servers of the sidecar's service
     */
    SidecarDriver(int backends) {
        mSidecar =
                new SidecarReducer(
                        new SidecarIdentity(
                                mSelf,
                                SampleData.service(0),
                                "data-centre-0",
                                "region-0",
                                "10.1.0.0:7443",
                                1));
        exchange(true, SampleData.backends(backends));
    }

    void step(SidecarEvent event) {
        mSidecar.step(mNow, event, this::onEffect);
    }

    private void onEffect(SidecarEffect effect) {
        if (effect instanceof SidecarEffect.StartEngineCall) {
            mStartedCalls++;
        }
    }

    /**
     * Answers an exchange with control. The mean load is so high that the sidecar admits every
     * request.
     */
    void exchange(boolean full, List<Backend> backends) {
        step(
                new SidecarEvent.ExchangeAnswered(
                        SampleData.delta(mVersion++, full, backends),
                        SampleData.loads().subList(0, 1),
                        true,
                        false,
                        0));
    }

    /** Starts an attempt and delivers the head of its answer. */
    AttemptId startAttempt(long chat) {
        mRequests++;
        AttemptId id =
                new AttemptId("router-" + mRequests % 360, SampleData.INCARNATION, mRequests, 1);
        String account = SampleData.account((int) (mRequests % ACCOUNTS));
        step(
                new SidecarEvent.AttemptRequested(
                        mRequests, SampleData.request(id, mSelf, account, SampleData.chat(chat))));
        if (mStartedCalls < mRequests) {
            throw new IllegalStateException("attempt not admitted, cost cannot be measured: " + id);
        }
        step(new SidecarEvent.EngineHeadReceived(id, 200, List.of()));
        return id;
    }

    /** Delivers a piece of output and its acknowledgement. */
    void output(AttemptId id, byte[] piece, long end) {
        step(new SidecarEvent.EngineDataReceived(id, piece));
        step(new SidecarEvent.OutputAcknowledged(id, end));
    }

    /** Ends an attempt. */
    void finishAttempt(AttemptId id) {
        step(new SidecarEvent.EngineFinished(id, new Frame.Usage(100, 0, 100)));
        step(new SidecarEvent.StreamClosed(id.request()));
    }

    /** Delivers handed-over directory entries of chats whose location is another server. */
    void receiveHandover(int chats) {
        for (int i = 0; i < chats; i += 1_000) {
            Map<Long, String> entries = new HashMap<>();
            for (int j = i; j < Math.min(chats, i + 1_000); j++) {
                entries.put(SampleData.chat(j), SampleData.backendName(1 + j % 50));
            }
            step(new SidecarEvent.ChatsHandedOver("worker-1", entries));
        }
    }

    /** Advances the time and delivers a tick. */
    void tick(Duration time) {
        mNow = mNow.plus(time);
        step(new SidecarEvent.Tick());
    }
}
