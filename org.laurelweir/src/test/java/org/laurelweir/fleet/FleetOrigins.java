package org.laurelweir.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.OriginAnswer;
import org.laurelweir.resumption.OriginReport;

/** A simulated router's calls to control about the origins of streams. */
final class FleetOrigins {
    private static final int COPIES = 2;
    private static final int TIMEOUT_MILLIS = 400;

    private final VirtualTime mTime;
    private final int mControls;
    private final ControlCalls mCalls;

    /** Calls a control instance by its number. */
    interface ControlCalls {
        void call(
                int control,
                LongFunction<ControlEvent> event,
                Consumer<ControlEffect.Answer> answer);
    }

    FleetOrigins(VirtualTime time, int controls, ControlCalls calls) {
        mTime = time;
        mControls = controls;
        mCalls = calls;
    }

    void record(DirectEffect.RecordStream e, Consumer<DirectEvent> events) {
        boolean[] reported = {false};
        int first = mTime.random().nextInt(mControls);
        int copies = e.isVoid() ? mControls : COPIES;
        for (int i = 0; i < copies; i++) {
            recordAt(e, first + i, reported, events);
        }
        mTime.after(
                TIMEOUT_MILLIS,
                () -> {
                    if (!reported[0]) {
                        for (int i = copies; i < mControls; i++) {
                            recordAt(e, first + i, reported, events);
                        }
                    }
                });
    }

    private void recordAt(
            DirectEffect.RecordStream e,
            int control,
            boolean[] reported,
            Consumer<DirectEvent> events) {
        mCalls.call(
                control % mControls,
                call ->
                        new ControlEvent.StreamOriginRecorded(
                                call, e.stream(), e.origin(), e.server(), e.retention()),
                answer -> {
                    if (!reported[0]) {
                        reported[0] = true;
                        Optional<BackendRun> laterRun =
                                ((ControlEffect.AnswerStreamRecorded) answer).laterRun();
                        events.accept(
                                new DirectEvent.StreamRecorded(
                                        e.record(), laterRun.isEmpty(), laterRun));
                    }
                });
    }

    void find(DirectEffect.FindStream e, Consumer<DirectEvent> events) {
        Map<String, OriginReport> reports = new HashMap<>();
        boolean[] reported = {false};
        for (int i = 0; i < mControls; i++) {
            String address = "c" + i;
            mCalls.call(
                    i,
                    call ->
                            new ControlEvent.StreamOriginRequested(
                                    call, e.stream(), e.service(), e.window()),
                    answer -> {
                        OriginReport r = ((ControlEffect.AnswerStreamOrigin) answer).report();
                        reports.put(address, r);
                        if (r.origin().isPresent() || reports.size() == mControls) {
                            report(e, reports, reported, events);
                        }
                    });
        }
        mTime.after(TIMEOUT_MILLIS, () -> report(e, reports, reported, events));
    }

    private void report(
            DirectEffect.FindStream e,
            Map<String, OriginReport> reports,
            boolean[] reported,
            Consumer<DirectEvent> events) {
        if (!reported[0]) {
            reported[0] = true;
            OriginAnswer answer = OriginAnswer.of(mControls, reports, e.window());
            events.accept(new DirectEvent.StreamFound(e.lookup(), answer));
        }
    }
}
