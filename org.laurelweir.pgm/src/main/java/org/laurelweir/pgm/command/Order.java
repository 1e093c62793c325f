package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.MinOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.Failures;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.wire.v1.BackendStatus;
import org.laurelweir.wire.v1.IssueFenceReply;
import org.laurelweir.wire.v1.OrderReply;
import org.laurelweir.wire.v1.OrderRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;
import org.laurelweir.wire.v1.StatusReply;

/**
 * Sends a backend server, through its sidecar, an order to load something or to change its role.
 * Each order carries a new fencing token from control, so that an order that arrives late can't
 * undo a newer one.
 */
@Command(name = "order", description = Texts.ORDER)
public final class Order implements PgmCommand {
    private static final int ARGUMENT_COUNT = 3;

    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Required
    @MinOccurrences(occurrences = ARGUMENT_COUNT)
    @MaxOccurrences(occurrences = ARGUMENT_COUNT)
    @Arguments(title = "BACKEND KIND ARGUMENT", description = Texts.ARGUMENTS_ORDER)
    private List<String> mArguments = new ArrayList<>();

    /** An order that the backend server accepted, printed as JSON. */
    record Taken(String backend, String kind, String argument, long fence) {}

    @Override
    public int run(Console console) {
        return mFleet.withFleet(console, f -> order(f, console));
    }

    private int order(FleetConnection fleet, Console console) {
        String backend = mArguments.get(0);
        String address = addressOf(fleet.control().status(), backend);
        IssueFenceReply issued = fleet.control().issueFence(backend);
        Replies.requireOk(issued.getCode(), "");
        OrderReply reply = send(fleet, address, issued.getFence());
        Replies.requireOk(reply.getCode(), reply.getMessage());
        if (mFleet.isJson()) {
            console.printJson(
                    new Taken(backend, mArguments.get(1), mArguments.get(2), issued.getFence()));
        } else {
            console.print(String.format(Texts.ORDER_TAKEN, backend, issued.getFence()));
        }
        return SUCCESS;
    }

    private OrderReply send(FleetConnection fleet, String address, long fence) {
        OrderRequest request =
                OrderRequest.newBuilder()
                        .setKind(mArguments.get(1))
                        .setArgument(mArguments.get(2))
                        .setFence(fence)
                        .build();
        try {
            return SidecarServiceGrpc.newBlockingStub(fleet.channel(address))
                    .withDeadlineAfter(fleet.timeout().toMillis(), TimeUnit.MILLISECONDS)
                    .order(request);
        } catch (StatusRuntimeException e) {
            String reason = Failures.describe(e);
            throw new LaurelweirException(
                    ResultCode.OUTCOME_UNKNOWN,
                    String.format(Texts.SILENT_PROGRAM, mArguments.get(0), address, reason),
                    e);
        }
    }

    private static String addressOf(StatusReply fleet, String backend) {
        for (BackendStatus b : fleet.getBackendsList()) {
            if (b.getBackend().getRef().getId().equals(backend)) {
                return b.getBackend().getAddress();
            }
        }
        throw new LaurelweirException(
                ResultCode.UNKNOWN_BACKEND_SERVER, String.format(Texts.NO_SUCH_BACKEND, backend));
    }
}
