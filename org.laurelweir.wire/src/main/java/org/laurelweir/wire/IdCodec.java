package org.laurelweir.wire;

import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;

/** Converts the identifiers that many messages contain. */
public final class IdCodec {
    private IdCodec() {}

    /** Returns the message of a backend server's reference. */
    public static org.laurelweir.wire.v1.BackendRef toWire(BackendRef ref) {
        return org.laurelweir.wire.v1.BackendRef.newBuilder()
                .setId(ref.id())
                .setIncarnation(ref.incarnation())
                .build();
    }

    /** Returns the reference that a message holds. */
    public static BackendRef toCore(org.laurelweir.wire.v1.BackendRef ref) {
        return new BackendRef(ref.getId(), ref.getIncarnation());
    }

    /** Returns the message of an attempt's id. */
    public static org.laurelweir.wire.v1.AttemptId toWire(AttemptId id) {
        return org.laurelweir.wire.v1.AttemptId.newBuilder()
                .setRouter(id.router())
                .setRouterIncarnation(id.routerIncarnation())
                .setRequest(id.request())
                .setAttempt(id.attempt())
                .build();
    }

    /** Returns the attempt's id that a message holds. */
    public static AttemptId toCore(org.laurelweir.wire.v1.AttemptId id) {
        return new AttemptId(
                id.getRouter(), id.getRouterIncarnation(), id.getRequest(), id.getAttempt());
    }
}
