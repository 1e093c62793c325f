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

/** Drives a sidecar's reducer as its shell would. */
final class SidecarDriver {
    private static final int ACCOUNTS = 100;

    private final BackendRef mSelf = Samples.backend(0, Samples.service(0), 1).ref();
    private final SidecarReducer mSidecar;
    private Instant mNow = Instant.EPOCH;
    private long mRequests;
    private long mStarted;
    private long mVersion = 1;

    /**
     * Creates a driver.
     *
     * @param backends how many backend servers the sidecar's service has
     */
    SidecarDriver(int backends) {
        mSidecar =
                new SidecarReducer(
                        new SidecarIdentity(
                                mSelf,
                                Samples.service(0),
                                "data-centre-0",
                                "region-0",
                                "10.1.0.0:7443",
                                1));
        exchange(true, Samples.backends(backends));
    }

    void step(SidecarEvent event) {
        mSidecar.step(mNow, event, this::take);
    }

    private void take(SidecarEffect effect) {
        if (effect instanceof SidecarEffect.StartEngineCall) {
            mStarted++;
        }
    }

    /** Lets an exchange be answered; the mean is so high that everything is admitted. */
    void exchange(boolean full, List<Backend> backends) {
        step(
                new SidecarEvent.ExchangeAnswered(
                        Samples.delta(mVersion++, full, backends),
                        Samples.loads().subList(0, 1),
                        true,
                        false,
                        0));
    }

    /** Begins an attempt that the backend server begins to answer. */
    AttemptId begin(long chat) {
        mRequests++;
        AttemptId id = new AttemptId("router-" + mRequests % 360, Samples.RUN, mRequests, 1);
        String account = Samples.account((int) (mRequests % ACCOUNTS));
        step(
                new SidecarEvent.AttemptRequested(
                        mRequests, Samples.request(id, mSelf, account, Samples.chat(chat))));
        if (mStarted < mRequests) {
            throw new IllegalStateException("not admitted, so nothing would be measured: " + id);
        }
        step(new SidecarEvent.EngineHeadReceived(id, 200, List.of()));
        return id;
    }

    /** Passes a piece of output on and has it acknowledged. */
    void output(AttemptId id, byte[] piece, long end) {
        step(new SidecarEvent.EngineDataReceived(id, piece));
        step(new SidecarEvent.OutputAcknowledged(id, end));
    }

    /** Ends an attempt. */
    void finish(AttemptId id) {
        step(new SidecarEvent.EngineFinished(id, new Frame.Usage(100, 0, 100)));
        step(new SidecarEvent.StreamClosed(id.request()));
    }

    /** Takes entries of chats that sit elsewhere. */
    void takeOver(int chats) {
        for (int i = 0; i < chats; i += 1_000) {
            Map<Long, String> entries = new HashMap<>();
            for (int j = i; j < Math.min(chats, i + 1_000); j++) {
                entries.put(Samples.chat(j), Samples.backendName(1 + j % 50));
            }
            step(new SidecarEvent.ChatsHandedOver("worker-1", entries));
        }
    }

    /** Lets time pass. */
    void tick(Duration time) {
        mNow = mNow.plus(time);
        step(new SidecarEvent.Tick());
    }
}
