package org.laurelweir.pgm.fleet;

import io.grpc.StatusRuntimeException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Texts;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.wire.v1.ChangeMembersReply;
import org.laurelweir.wire.v1.ChangeMembersRequest;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ControlServiceGrpc.ControlServiceBlockingStub;
import org.laurelweir.wire.v1.DrainReply;
import org.laurelweir.wire.v1.DrainRequest;
import org.laurelweir.wire.v1.HistoryReply;
import org.laurelweir.wire.v1.HistoryRequest;
import org.laurelweir.wire.v1.IssueFenceReply;
import org.laurelweir.wire.v1.IssueFenceRequest;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.ReadSettingsRequest;
import org.laurelweir.wire.v1.ReleaseReply;
import org.laurelweir.wire.v1.ReleaseRequest;
import org.laurelweir.wire.v1.StatusReply;
import org.laurelweir.wire.v1.StatusRequest;

/**
 * Calls control until an instance answers for it: follows hints to the leader, goes on to the next
 * instance where one is silent, and gives up after a fixed number of tries. Every call may safely
 * arrive twice: a change carries its id, drains repeat the same wish, and a fencing number that
 * nobody received is merely skipped.
 */
public final class ControlClient {
    private static final int TRIES = 12;

    private final Channels mChannels;
    private final List<String> mAddresses;
    private final Duration mTimeout;
    private final Runnable mPause;
    private int mNext;

    /**
     * Creates a client that has not called yet.
     *
     * @param channels to the instances
     * @param addresses of the instances, host:port; at least one
     * @param timeout of one try
     * @param pause waits before an instance is asked again that had no better answer
     */
    public ControlClient(
            Channels channels, List<String> addresses, Duration timeout, Runnable pause) {
        mChannels = channels;
        mAddresses = List.copyOf(addresses);
        mTimeout = timeout;
        mPause = pause;
    }

    /** Reads nodes from an instance that is sure to know the newest accepted change. */
    public ReadSettingsReply readSettings(String path, long position) {
        ReadSettingsRequest request =
                ReadSettingsRequest.newBuilder()
                        .setPath(path)
                        .setPosition(position)
                        .setLinearizable(true)
                        .build();
        return call(
                s -> s.readSettings(request),
                r -> ControlReply.of(r.getCode(), r.getMessage(), r.getLeader()));
    }

    /** Changes nodes; the reply's code tells a conflict or faults. */
    public ChangeSettingsReply changeSettings(ChangeSettingsRequest request) {
        return call(
                s -> s.changeSettings(request),
                r -> ControlReply.of(r.getCode(), r.getMessage(), r.getLeader()));
    }

    /** Reads accepted changes. */
    public HistoryReply history(HistoryRequest request) {
        return call(s -> s.history(request), r -> ControlReply.of(r.getCode(), "", r.getLeader()));
    }

    /** Records whether a backend server shall take no new work. */
    public DrainReply drain(DrainRequest request) {
        return call(
                s -> s.drain(request),
                r -> ControlReply.of(r.getCode(), r.getMessage(), r.getLeader()));
    }

    /** Lets a request be sent again that is kept away from backend servers. */
    public ReleaseReply release(ReleaseRequest request) {
        return call(s -> s.release(request), r -> ControlReply.of(r.getCode(), r.getMessage(), ""));
    }

    /** Returns a new fencing number for orders to a backend server. */
    public IssueFenceReply issueFence(String backend) {
        IssueFenceRequest request = IssueFenceRequest.newBuilder().setBackend(backend).build();
        return call(
                s -> s.issueFence(request), r -> ControlReply.of(r.getCode(), "", r.getLeader()));
    }

    /** Changes which replicas hold the log, by one step. */
    public ChangeMembersReply changeMembers(ChangeMembersRequest request) {
        return call(
                s -> s.changeMembers(request),
                r -> ControlReply.of(r.getCode(), r.getMessage(), r.getLeader()));
    }

    /** Returns the fleet as one instance sees it. */
    public StatusReply status() {
        return call(
                s -> s.status(StatusRequest.getDefaultInstance()),
                r -> ControlReply.of(ResultCode.OK.number(), "", ""));
    }

    private <T> T call(
            Function<ControlServiceBlockingStub, T> rpc, Function<T, ControlReply> view) {
        String address = mAddresses.get(mNext);
        ResultCode code = ResultCode.UNREACHABLE;
        String last = "";
        for (int i = 0; i < TRIES; i++) {
            String hint = "";
            try {
                T reply = rpc.apply(stub(address));
                ControlReply seen = view.apply(reply);
                if (!seen.isRetryable()) {
                    return reply;
                }
                code = seen.code();
                last = address + " answers " + code + " " + seen.message();
                hint = seen.leader().equals(address) ? "" : seen.leader();
            } catch (StatusRuntimeException e) {
                last = address + " " + Failures.describe(e);
            }
            if (hint.isEmpty()) {
                mPause.run();
            }
            address = hint.isEmpty() ? nextAddress() : hint;
        }
        throw new LaurelweirException(code, String.format(Texts.NO_ANSWER, last));
    }

    private String nextAddress() {
        mNext = (mNext + 1) % mAddresses.size();
        return mAddresses.get(mNext);
    }

    private ControlServiceBlockingStub stub(String address) {
        return ControlServiceGrpc.newBlockingStub(mChannels.get(address))
                .withDeadlineAfter(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
    }
}
