package org.laurelweir.benchmarks.measure.policy;

import java.util.function.Function;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.benchmarks.measure.fleet.Scheme;

/** The ways of queueing that are compared while one client account surges. */
public enum FairScheme {
    /** The sidecars' reducers, whose queue shares by client account. */
    BY_ACCOUNT("sidecar reducers (ours)", r -> r.placement().account()),
    /** The same reducers told one account for all: their queue is then first in, first out. */
    FIRST_IN_FIRST_OUT("same, first in first out", r -> "all"),
    /** No admission at all: the engines' own queue, first in, first out. */
    ENGINE_QUEUE("engine's queue alone", null);

    private final String mTitle;
    private final Function<Request, String> mAccount;

    FairScheme(String title, Function<Request, String> account) {
        mTitle = title;
        mAccount = account;
    }

    public String title() {
        return mTitle;
    }

    /** Returns the scheme for one run's fleet. */
    public Scheme newScheme(Fleet fleet) {
        return mAccount == null
                ? Policy.RENDEZVOUS.newScheme(fleet)
                : new ReducerScheme(fleet, mAccount);
    }
}
