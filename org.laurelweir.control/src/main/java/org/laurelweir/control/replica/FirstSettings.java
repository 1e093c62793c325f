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
 * Applies a tree file as the first change of an empty log. Every instance may try: the change has
 * one id, so it is applied once, and it expects nodes that do not exist, so it undoes nothing.
 */
public final class FirstSettings {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String CHANGE_ID = "first-settings";
    private static final long RETRY_MILLIS = 100;

    private final PendingCalls mCalls;
    private final Consumer<ControlEvent> mEvents;
    private final ScheduledExecutorService mTimer;
    private final Command.ChangeSettings mChange;

    /**
     * Creates the change.
     *
     * @param nodes the values of each node by its path
     * @param author whom the history names
     * @param calls where calls wait
     * @param events takes the change
     * @param timer runs the retries
     */
    public FirstSettings(
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

    /** Tries until settings are in force, from this file or otherwise. */
    public void begin() {
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
            sLogger.atInfo().log("first settings: %s %s", r.code(), r.answer().faults());
            return;
        }
        mTimer.schedule(this::begin, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
