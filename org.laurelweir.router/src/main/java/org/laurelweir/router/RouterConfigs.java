package org.laurelweir.router;

import java.time.Instant;
import org.laurelweir.direct.AnswerLimits;
import org.laurelweir.direct.RetryLimits;
import org.laurelweir.routing.RouterConfig;

/** Translates a router's settings file to the configuration of its decisions. */
final class RouterConfigs {
    private RouterConfigs() {}

    /**
     * Returns the configuration of a router.
     *
     * @param started the time of its start, which becomes its incarnation
     */
    static RouterConfig of(RouterFile file, Instant started) {
        long incarnation = started.toEpochMilli();
        long seed = file.seed() == 0 ? incarnation : file.seed();
        return new RouterConfig(
                file.name(),
                incarnation,
                seed,
                file.exchangeInterval(),
                file.chatSeats(),
                retryLimits(file),
                new AnswerLimits(
                        file.maxAnswer().bytes(),
                        file.maxEvent().bytes(),
                        file.answerMemory().bytes()),
                file.hedgeShare());
    }

    private static RetryLimits retryLimits(RouterFile file) {
        RetryLimits d = RetryLimits.DEFAULT;
        return new RetryLimits(
                file.retryShare(),
                file.retryReserve(),
                file.retryWindow(),
                d.minRouters(),
                d.usableShare());
    }
}
