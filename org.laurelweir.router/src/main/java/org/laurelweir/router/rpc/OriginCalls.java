package org.laurelweir.router.rpc;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.OriginAnswer;
import org.laurelweir.resumption.OriginReport;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.wire.StreamCodec;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ControlServiceGrpc.ControlServiceFutureStub;
import org.laurelweir.wire.v1.FindStreamReply;
import org.laurelweir.wire.v1.FindStreamRequest;
import org.laurelweir.wire.v1.RecordStreamReply;
import org.laurelweir.wire.v1.RecordStreamRequest;

/**
 * Records at control instances what began a stream, and asks them. A record goes to {@value
 * #COPIES} instances; a lookup asks all of them, so that routers need not agree on which instances
 * have the record. Thread-safe.
 */
public final class OriginCalls {
    /** Copies of a record; one instance may be lost together with the router. */
    private static final int COPIES = 2;

    private final Channels mChannels;
    private final String mHost;
    private final Duration mTimeout;
    private final Consumer<DirectEvent> mEvents;
    private final AtomicInteger mNextHolder;
    private volatile List<String> mControls;

    /**
     * Creates the calls.
     *
     * @param channels connections to control instances
     * @param controls addresses of control instances, host:port; at least one
     * @param host the host of this router; records go to control instances elsewhere if there are
     *     enough, since a lost machine takes its router and its control instance with it
     * @param seed where to begin among the control instances, different for each router
     * @param timeout maximum wait for the answer of one instance
     * @param events receives the results, on any thread
     */
    public OriginCalls(
            Channels channels,
            List<String> controls,
            String host,
            int seed,
            Duration timeout,
            Consumer<DirectEvent> events) {
        mChannels = channels;
        mControls = List.copyOf(controls);
        mHost = host;
        mTimeout = timeout;
        mEvents = events;
        mNextHolder = new AtomicInteger(seed);
    }

    /** Replaces the addresses by those that control reports. An empty list changes nothing. */
    public void setControls(List<String> controls) {
        if (!controls.isEmpty()) {
            mControls = List.copyOf(controls);
        }
    }

    /** Records a stream. The first confirmation, or the failure of all copies, is an event. */
    public void record(DirectEffect.RecordStream e) {
        new RecordCall(e, holders()).begin();
    }

    /** Returns the control instances in the order in which they are asked to keep a record. */
    private List<String> holders() {
        List<String> all = mControls;
        int start = Math.floorMod(mNextHolder.getAndIncrement(), all.size());
        List<String> elsewhere = new ArrayList<>();
        List<String> here = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            String address = all.get((start + i) % all.size());
            (address.startsWith(mHost + ":") ? here : elsewhere).add(address);
        }
        elsewhere.addAll(here);
        return elsewhere;
    }

    /** Asks all control instances. The result is an event, at the latest after the timeout. */
    public void find(DirectEffect.FindStream e) {
        List<String> controls = mControls;
        Lookup lookup = new Lookup(e, controls.size());
        FindStreamRequest request = StreamCodec.findRequest(e.stream(), e.service(), e.window());
        for (String address : controls) {
            call(
                    address,
                    s -> s.findStream(request),
                    reply -> lookup.onReply(address, reply),
                    lookup::onFailure);
        }
    }

    private <R> void call(
            String address,
            Function<ControlServiceFutureStub, ListenableFuture<R>> send,
            Consumer<R> onReply,
            Runnable onFailure) {
        ManagedChannel channel = mChannels.get(address);
        ControlServiceFutureStub stub =
                ControlServiceGrpc.newFutureStub(channel)
                        .withDeadlineAfter(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
        FutureCallback<R> callback =
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(R reply) {
                        onReply.accept(reply);
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        if (mayBeSilent(failure)) {
                            mChannels.reconnect(address, channel);
                        }
                        onFailure.run();
                    }
                };
        Futures.addCallback(send.apply(stub), callback, MoreExecutors.directExecutor());
    }

    /**
     * Returns whether a new connection may help. An instance that refused the call has answered.
     */
    private static boolean mayBeSilent(Throwable failure) {
        return Status.fromThrowable(failure).getCode() != Status.Code.UNIMPLEMENTED;
    }

    /** One record on its way to several control instances. */
    private final class RecordCall {
        private final DirectEffect.RecordStream mRecord;
        private final RecordStreamRequest mRequest;
        private final List<String> mHolders;
        private int mNext;
        private int mPending;
        private boolean mIsReported;

        RecordCall(DirectEffect.RecordStream e, List<String> holders) {
            mRecord = e;
            mRequest = StreamCodec.recordRequest(e.stream(), e.origin(), e.server(), e.retention());
            mHolders = holders;
        }

        void begin() {
            int copies = mRecord.isVoid() ? mHolders.size() : COPIES;
            for (int i = 0; i < copies; i++) {
                sendNext();
            }
        }

        private void sendNext() {
            String holder;
            synchronized (this) {
                if (mNext >= mHolders.size()) {
                    return;
                }
                holder = mHolders.get(mNext++);
                mPending++;
            }
            call(holder, s -> s.recordStream(mRequest), this::onReply, this::onFailure);
        }

        private synchronized void onReply(RecordStreamReply reply) {
            mPending--;
            Optional<BackendRun> laterRun = StreamCodec.toCore(reply);
            report(laterRun.isEmpty(), laterRun);
        }

        private void onFailure() {
            synchronized (this) {
                mPending--;
            }
            sendNext();
            reportIfNoneIsLeft();
        }

        private synchronized void reportIfNoneIsLeft() {
            if (mPending == 0) {
                report(false, Optional.empty());
            }
        }

        private void report(boolean stored, Optional<BackendRun> laterRun) {
            if (!mIsReported) {
                mIsReported = true;
                mEvents.accept(new DirectEvent.StreamRecorded(mRecord.record(), stored, laterRun));
            }
        }
    }

    /** One lookup and the answers so far. */
    private final class Lookup {
        private final DirectEffect.FindStream mFind;
        private final int mAsked;
        private final Map<String, OriginReport> mReports = new HashMap<>();
        private int mPending;
        private boolean mIsReported;

        Lookup(DirectEffect.FindStream e, int asked) {
            mFind = e;
            mAsked = asked;
            mPending = asked;
        }

        synchronized void onReply(String address, FindStreamReply reply) {
            mPending--;
            OriginReport report = StreamCodec.toCore(reply);
            mReports.put(address, report);
            reportIfDecided(report.origin().isPresent());
        }

        synchronized void onFailure() {
            mPending--;
            reportIfDecided(false);
        }

        private void reportIfDecided(boolean isFound) {
            if (mIsReported || !isFound && mPending > 0) {
                return;
            }
            mIsReported = true;
            OriginAnswer answer = OriginAnswer.of(mAsked, mReports, mFind.window());
            mEvents.accept(new DirectEvent.StreamFound(mFind.lookup(), answer));
        }
    }
}
