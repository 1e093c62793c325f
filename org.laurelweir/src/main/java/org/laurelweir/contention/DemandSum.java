package org.laurelweir.contention;

import org.laurelweir.lib.BackendRef;
import org.laurelweir.sums.Arithmetic;

/**
 * The numbers of a {@link ServerDemand}, without its backend server.
 *
 * @param tokens tokens that requests hold there
 * @param ended number of requests that ended there lately
 * @param failed number of those that the backend server failed
 */
record DemandSum(long tokens, int ended, int failed) {
    static final DemandSum ZERO = new DemandSum(0, 0, 0);

    static final Arithmetic<DemandSum> ARITHMETIC =
            new Arithmetic<>() {
                @Override
                public DemandSum zero() {
                    return ZERO;
                }

                @Override
                public DemandSum plus(DemandSum a, DemandSum b) {
                    return new DemandSum(
                            a.tokens + b.tokens, a.ended + b.ended, a.failed + b.failed);
                }

                @Override
                public DemandSum minus(DemandSum a, DemandSum b) {
                    return new DemandSum(
                            a.tokens - b.tokens, a.ended - b.ended, a.failed - b.failed);
                }
            };

    static DemandSum of(ServerDemand d) {
        return new DemandSum(d.tokens(), d.ended(), d.failed());
    }

    ServerDemand at(BackendRef server) {
        return new ServerDemand(server, tokens, ended, failed);
    }
}
