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
import org.laurelweir.wire.v1.DrainDataCentreRequest;
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
 * Calls control and retries until an instance gives a final answer. A retry goes to the leader if
 * the answer names it, else to the next instance. The call fails after a fixed number of attempts.
 * Every call may safely arrive twice: a change carries its id, a drain order is idempotent, and a
 * fencing token whose answer got lost is skipped.
 */
public final class ControlClient {
    private static final int MAX_ATTEMPTS = 12;

    private final Channels mChannels;
    private final List<String> mAddresses;
    private final Duration mTimeout;
    private final Runnable mRetryPause;
    private int mCurrent;

    /**
     * Creates a client that has not called yet.
     *
     * @param channels the connections to the instances
     * @param addresses the instances' addresses, host:port; at least one
     * @param timeout the timeout of one attempt
     * @param pause waits before a retry that follows no hint to the leader
     */
    public ControlClient(
            Channels channels, List<String> addresses, Duration timeout, Runnable pause) {
        mChannels = channels;
        mAddresses = List.copyOf(addresses);
        mTimeout = timeout;
        mRetryPause = pause;
    }

    /** Returns nodes by a linearizable read, which includes every accepted change. */
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

    /** Changes nodes. The reply's code reports a conflict or faults. */
    public ChangeSettingsReply changeSettings(ChangeSettingsRequest request) {
        return call(
                s -> s.changeSettings(request),
                r -> ControlReply.of(r.getCode(), r.getMessage(), r.getLeader()));
    }

    /** Returns accepted changes of settings. */
    public HistoryReply history(HistoryRequest request) {
        return call(s -> s.history(request), r -> ControlReply.of(r.getCode(), "", r.getLeader()));
    }

    /** Orders a backend server's drain, or ends it. */
    public DrainReply drain(DrainRequest request) {
        return call(
                s -> s.drain(request),
                r -> ControlReply.of(r.getCode(), r.getMessage(), r.getLeader()));
    }

    /** Orders a data centre's drain, or ends it. */
    public DrainReply drainDataCentre(DrainDataCentreRequest request) {
        return call(
                s -> s.drainDataCentre(request),
                r -> ControlReply.of(r.getCode(), r.getMessage(), r.getLeader()));
    }

    /** Releases a request from quarantine. */
    public ReleaseReply release(ReleaseRequest request) {
        return call(s -> s.release(request), r -> ControlReply.of(r.getCode(), r.getMessage(), ""));
    }

    /** Returns a new fencing token for orders to a backend server. */
    public IssueFenceReply issueFence(String backend) {
        IssueFenceRequest request = IssueFenceRequest.newBuilder().setBackend(backend).build();
        return call(
                s -> s.issueFence(request), r -> ControlReply.of(r.getCode(), "", r.getLeader()));
    }

    /** Changes the log's membership by one step. */
    public ChangeMembersReply changeMembers(ChangeMembersRequest request) {
        return call(
                s -> s.changeMembers(request),
                r -> ControlReply.of(r.getCode(), r.getMessage(), r.getLeader()));
    }

    /** Returns the fleet's status as one control instance knows it. */
    public StatusReply status() {
        return call(
                s -> s.status(StatusRequest.getDefaultInstance()),
                r -> ControlReply.of(ResultCode.OK.number(), "", ""));
    }

    private <T> T call(
            Function<ControlServiceBlockingStub, T> rpc, Function<T, ControlReply> view) {
        String address = mAddresses.get(mCurrent);
        ResultCode code = ResultCode.UNREACHABLE;
        String lastFailure = "";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            String hint = "";
            try {
                T reply = rpc.apply(stub(address));
                ControlReply seen = view.apply(reply);
                if (!seen.isRetryable()) {
                    return reply;
                }
                code = seen.code();
                lastFailure = address + " answers " + code + " " + seen.message();
                hint = seen.leader().equals(address) ? "" : seen.leader();
            } catch (StatusRuntimeException e) {
                lastFailure = address + " " + Failures.describe(e);
            }
            if (hint.isEmpty()) {
                mRetryPause.run();
            }
            address = hint.isEmpty() ? nextAddress() : hint;
        }
        throw new LaurelweirException(code, String.format(Texts.NO_ANSWER, lastFailure));
    }

    private String nextAddress() {
        mCurrent = (mCurrent + 1) % mAddresses.size();
        return mAddresses.get(mCurrent);
    }

    private ControlServiceBlockingStub stub(String address) {
        return ControlServiceGrpc.newBlockingStub(mChannels.get(address))
                .withDeadlineAfter(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
    }
}
