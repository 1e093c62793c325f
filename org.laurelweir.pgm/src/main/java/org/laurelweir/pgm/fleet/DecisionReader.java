package org.laurelweir.pgm.fleet;

import com.google.common.util.concurrent.ListenableFuture;
import io.grpc.Channel;
import io.grpc.Deadline;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.wire.v1.Backend;
import org.laurelweir.wire.v1.BackendStatus;
import org.laurelweir.wire.v1.Decision;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.RouterReport;
import org.laurelweir.wire.v1.RouterServiceGrpc;
import org.laurelweir.wire.v1.RouterStatus;
import org.laurelweir.wire.v1.SidecarServiceGrpc;
import org.laurelweir.wire.v1.StatusReply;

/**
 * Collects the decisions that routers and sidecars have kept. The routers' decisions name the
 * backend servers that they chose, so that only a few sidecars have to be called in a large fleet.
 * If no router has kept a matching decision, every sidecar is called.
 */
public final class DecisionReader {
    private final Channels mChannels;
    private final Duration mTimeout;
    private final List<Decision> mDecisions = new ArrayList<>();
    private final List<SilentProgram> mSilent = new ArrayList<>();

    /**
     * Creates a reader for one request.
     *
     * @param channels the connections to the programs
     * @param timeout the timeout of the calls to routers, and again of those to sidecars
     */
    public DecisionReader(Channels channels, Duration timeout) {
        mChannels = channels;
        mTimeout = timeout;
    }

    /**
     * A program that gave no answer.
     *
     * @param name the name of the router, or of the sidecar's backend server
     * @param address the address that was called
     * @param reason the call's failure
     */
    public record SilentProgram(String name, String address, String reason) {}

    private record PendingCall(
            String name, String address, ListenableFuture<ExplainReply> answer) {}

    /**
     * Collects decisions.
     *
     * @param fleet the routers and backend servers to call
     * @param request selects the decisions; its limit applies to each program
     * @return the decisions, oldest first
     */
    public List<Decision> read(StatusReply fleet, ExplainRequest request) {
        collect(askRouters(fleet, request));
        collect(askSidecars(fleet, request));
        mDecisions.sort(Comparator.comparingLong(Decision::getAtMillis));
        return List.copyOf(mDecisions);
    }

    /** Returns the programs that gave no answer so far. */
    public List<SilentProgram> silentPrograms() {
        return List.copyOf(mSilent);
    }

    private List<PendingCall> askRouters(StatusReply fleet, ExplainRequest request) {
        List<RouterReport> routers =
                fleet.getRoutersList().stream()
                        .map(RouterStatus::getRouter)
                        .filter(r -> !r.getExplainAddress().isEmpty())
                        .toList();
        // A request's name begins with the name of the router that took it.
        List<RouterReport> named =
                routers.stream()
                        .filter(r -> request.getSubject().startsWith(r.getName() + "-"))
                        .toList();
        return (named.isEmpty() ? routers : named)
                .stream()
                        .map(r -> ask(r.getName(), r.getExplainAddress(), routerCall(request)))
                        .toList();
    }

    private List<PendingCall> askSidecars(StatusReply fleet, ExplainRequest request) {
        Set<String> chosen = new HashSet<>();
        mDecisions.forEach(d -> chosen.add(d.getChoice()));
        return fleet.getBackendsList().stream()
                .map(BackendStatus::getBackend)
                .filter(b -> !b.getAddress().isEmpty())
                .filter(b -> chosen.isEmpty() || chosen.contains(b.getRef().getId()))
                .map(b -> askSidecar(b, request))
                .toList();
    }

    private PendingCall askSidecar(Backend backend, ExplainRequest request) {
        return ask(backend.getRef().getId(), backend.getAddress(), sidecarCall(request));
    }

    private Function<Channel, ListenableFuture<ExplainReply>> routerCall(ExplainRequest request) {
        return c -> RouterServiceGrpc.newFutureStub(c).withDeadline(deadline()).explain(request);
    }

    private Function<Channel, ListenableFuture<ExplainReply>> sidecarCall(ExplainRequest request) {
        return c -> SidecarServiceGrpc.newFutureStub(c).withDeadline(deadline()).explain(request);
    }

    private Deadline deadline() {
        return Deadline.after(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private PendingCall ask(
            String name, String address, Function<Channel, ListenableFuture<ExplainReply>> call) {
        return new PendingCall(name, address, call.apply(mChannels.get(address)));
    }

    private void collect(List<PendingCall> calls) {
        for (PendingCall c : calls) {
            try {
                mDecisions.addAll(c.answer().get().getDecisionsList());
            } catch (ExecutionException e) {
                String reason = Failures.describe(e);
                mSilent.add(new SilentProgram(c.name(), c.address(), reason));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new LaurelweirException(
                        ResultCode.CANCELLED, "interrupted while waiting for decisions", e);
            }
        }
    }
}
