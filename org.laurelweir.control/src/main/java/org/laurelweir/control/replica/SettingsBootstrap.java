package org.laurelweir.control.replica;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.control.rpc.PendingCalls;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.CommandResult.SettingsResult;
import org.laurelweir.coordination.ControlEffect.Answer;
import org.laurelweir.coordination.ControlEffect.AnswerCommand;
import org.laurelweir.coordination.ControlEffect.AnswerSettings;
import org.laurelweir.coordination.ControlEvent;

/**
 * Applies a tree file as the first change of an empty log. Every instance may try: all use the same
 * change id, so the change is applied once. It expects that its nodes do not exist, so it
 * overwrites nothing.
 */
public final class SettingsBootstrap {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String CHANGE_ID = "first-settings";
    private static final long RETRY_MILLIS = 100;

    private final PendingCalls mCalls;
    private final Consumer<ControlEvent> mEvents;
    private final ScheduledExecutorService mTimer;
    private final Command.ChangeSettings mChange;

    /**
     * Creates a bootstrap that is not started.
     *
     * @param nodes the values of each node by its path
     * @param author the author that the settings history shows
     * @param calls registers the calls that wait for an answer
     * @param events receives the change
     * @param timer runs the retries
     */
    public SettingsBootstrap(
            Map<String, Map<String, String>> nodes,
            String author,
            PendingCalls calls,
            Consumer<ControlEvent> events,
            ScheduledExecutorService timer) {
        mCalls = calls;
        mEvents = events;
        mTimer = timer;
        List<Command.NodeChange> changes = new ArrayList<>();
        nodes.forEach(
                (path, values) ->
                        changes.add(new Command.NodeChange(path, 0, values, List.of(), false)));
        mChange = new Command.ChangeSettings(Instant.EPOCH, CHANGE_ID, author, changes);
    }

    /** Retries until there are settings, from this file or from another change. */
    public void start() {
        mEvents.accept(
                new ControlEvent.SettingsRequested(mCalls.open(this::onSettings), null, false, 0));
    }

    private void onSettings(Answer answer) {
        if (answer instanceof AnswerSettings a && a.position() > 0) {
            return;
        }
        mEvents.accept(new ControlEvent.CommandReceived(mCalls.open(this::onChanged), mChange));
    }

    private void onChanged(Answer answer) {
        if (answer instanceof AnswerCommand a && a.result() instanceof SettingsResult r) {
            sLogger.atInfo().log(
                    "bootstrap settings: result %s, faults %s", r.code(), r.answer().faults());
            return;
        }
        mTimer.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
