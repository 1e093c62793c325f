package org.laurelweir.pgm.command;

import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Table;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.wire.v1.ExplainUnsentReply;
import org.laurelweir.wire.v1.ExplainUnsentRequest;
import org.laurelweir.wire.v1.RouterReport;
import org.laurelweir.wire.v1.RouterServiceGrpc;
import org.laurelweir.wire.v1.RouterStatus;
import org.laurelweir.wire.v1.UnsentRefusal;
import org.laurelweir.wire.v1.UnsentServer;
import org.laurelweir.wire.v1.UnsentService;

/** Asks a router what would happen to a request that is not sent, and shows the answer. */
final class UnsentRequest {
    private final FleetConnection mFleet;
    private final String mRouter;

    /**
     * Creates a question.
     *
     * @param router the name of the router to ask, or empty for the first that answers
     */
    UnsentRequest(FleetConnection fleet, String router) {
        mFleet = fleet;
        mRouter = router;
    }

    /** The answer, printed as JSON. */
    record Answer(
            String router,
            String route,
            String account,
            int priority,
            long timeLeftMillis,
            long objectiveMillis,
            int maxAttempts,
            boolean repeatable,
            boolean contended,
            double accountWeight,
            String allowedRegions,
            Double fleetAgeMillis,
            List<Service> services,
            Refusal refusal) {}

    /** What would happen at one service; an absent figure is not known. */
    record Service(
            String service,
            double weight,
            int serving,
            Double meanLoad,
            String choice,
            String reason,
            Double bound,
            Refusal refusal,
            List<Server> servers) {
        static Service of(UnsentService s) {
            return new Service(
                    s.getService(),
                    s.getWeight(),
                    s.getServing(),
                    known(s.getMeanLoad()),
                    s.getChoice(),
                    s.getReason(),
                    known(s.getBound()),
                    s.hasRefusal() ? Refusal.of(s.getRefusal()) : null,
                    s.getServersList().stream().map(Server::of).toList());
        }
    }

    /** A backend server that is compared with others. */
    record Server(
            String id,
            String address,
            String dataCentre,
            String version,
            double load,
            Double loadAgeMillis,
            int ownRequests,
            int slots,
            double tokens,
            int memoryTokens,
            double failureRate,
            boolean unreliable,
            boolean slowStart) {
        static Server of(UnsentServer s) {
            return new Server(
                    s.getRef().getId(),
                    s.getAddress(),
                    s.getDataCentre(),
                    s.getVersion(),
                    s.getLoad(),
                    known(s.getLoadAgeMillis()),
                    s.getOwnRequests(),
                    s.getSlots(),
                    s.getTokens(),
                    s.getMemoryTokens(),
                    s.getFailureRate(),
                    s.getUnreliable(),
                    s.getSlowStart());
        }

        String state() {
            String unreliableText = unreliable ? "failed lately" : "";
            String separator = unreliable && slowStart ? ", " : "";
            return unreliableText + separator + (slowStart ? "slow start" : "");
        }
    }

    /** Why the request would be refused. */
    record Refusal(int code, String name, String message, long maxRetryAfterMillis) {
        static Refusal of(UnsentRefusal r) {
            return new Refusal(
                    r.getCode(), r.getName(), r.getMessage(), r.getMaxRetryAfterMillis());
        }

        String line(String indent) {
            return String.format(
                    Texts.UNSENT_REFUSAL, indent, code, name, message, maxRetryAfterMillis);
        }
    }

    private static Double known(double value) {
        return Double.isNaN(value) ? null : Double.valueOf(value);
    }

    private static String text(Double value) {
        return value == null ? "unknown" : String.format(Locale.ROOT, "%.1f", value);
    }

    /** Asks and shows. Returns the exit status: negative if the request would be refused. */
    int show(ExplainUnsentRequest request, Console console, boolean isJson) {
        Answer answer = toAnswer(ask(request));
        if (isJson) {
            console.printJson(answer);
        } else {
            console.print(lines(answer));
        }
        boolean isSent =
                answer.refusal() == null
                        && answer.services().stream().anyMatch(s -> s.refusal() == null);
        return isSent ? PgmCommand.SUCCESS : PgmCommand.NEGATIVE;
    }

    private ExplainUnsentReply ask(ExplainUnsentRequest request) {
        return mFleet.control().status().getRoutersList().stream()
                .map(RouterStatus::getRouter)
                .filter(r -> !r.getExplainAddress().isEmpty())
                .filter(r -> mRouter.isEmpty() || r.getName().equals(mRouter))
                .map(r -> ask(r, request))
                .flatMap(Optional::stream)
                .findFirst()
                .orElseThrow(
                        () -> new LaurelweirException(ResultCode.UNREACHABLE, Texts.NO_ROUTER));
    }

    private Optional<ExplainUnsentReply> ask(RouterReport router, ExplainUnsentRequest request) {
        try {
            return Optional.of(
                    RouterServiceGrpc.newBlockingStub(mFleet.channel(router.getExplainAddress()))
                            .withDeadlineAfter(mFleet.timeout().toMillis(), TimeUnit.MILLISECONDS)
                            .explainUnsent(request));
        } catch (StatusRuntimeException e) {
            // The next router knows as much.
            return Optional.empty();
        }
    }

    private static Answer toAnswer(ExplainUnsentReply r) {
        return new Answer(
                r.getRouter(),
                r.getRoute(),
                r.getAccount(),
                r.getPriority(),
                r.getTimeLeftMillis(),
                r.getObjectiveMillis(),
                r.getMaxAttempts(),
                r.getRepeatable(),
                r.getContended(),
                r.getAccountWeight(),
                r.getAllowedRegions(),
                known(r.getFleetAgeMillis()),
                r.getServicesList().stream().map(Service::of).toList(),
                r.hasRefusal() ? Refusal.of(r.getRefusal()) : null);
    }

    private static List<String> lines(Answer a) {
        if (a.refusal() != null) {
            return List.of(a.refusal().line(""));
        }
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        Texts.UNSENT_ROUTE,
                        a.router(),
                        a.route(),
                        a.account(),
                        a.priority(),
                        a.timeLeftMillis(),
                        a.objectiveMillis(),
                        a.maxAttempts(),
                        a.repeatable() ? "repeatable" : "at most once"));
        a.services().forEach(s -> addLines(s, lines));
        return lines;
    }

    private static void addLines(Service s, List<String> lines) {
        lines.add(
                String.format(
                        Locale.ROOT,
                        Texts.UNSENT_SERVICE,
                        s.service(),
                        s.weight(),
                        s.serving(),
                        text(s.meanLoad())));
        lines.add(
                s.refusal() == null
                        ? String.format(
                                Locale.ROOT,
                                Texts.UNSENT_CHOICE,
                                s.choice(),
                                s.reason(),
                                text(s.bound()))
                        : s.refusal().line("  "));
        Table table = new Table(Texts.UNSENT_COLUMNS);
        for (Server b : s.servers()) {
            table.add(
                    b.id(),
                    b.dataCentre(),
                    b.version(),
                    b.load(),
                    text(b.loadAgeMillis()),
                    b.ownRequests(),
                    b.slots(),
                    b.tokens(),
                    b.memoryTokens(),
                    b.failureRate(),
                    b.state());
        }
        lines.addAll(table.lines());
    }
}
