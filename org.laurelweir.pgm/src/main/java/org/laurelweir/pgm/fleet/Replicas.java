package org.laurelweir.pgm.fleet;

import java.util.List;
import java.util.stream.Collectors;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.ReplicaId;

/** The text form of replicas: a control instance's name, # and its disk's id in hexadecimal. */
public final class Replicas {
    private static final int HEXADECIMAL = 16;

    private Replicas() {}

    /**
     * Parses a replica's text form.
     *
     * @throws LaurelweirException USAGE if the text has another form
     */
    public static ReplicaId parse(String text) {
        int hash = text.lastIndexOf('#');
        try {
            return ReplicaId.newBuilder()
                    .setName(text.substring(0, hash))
                    .setStorageId(Long.parseUnsignedLong(text.substring(hash + 1), HEXADECIMAL))
                    .build();
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new LaurelweirException(
                    ResultCode.USAGE, String.format(Texts.NOT_A_REPLICA, text), e);
        }
    }

    /** Returns the text form of a replica; empty for an id without a name. */
    public static String text(ReplicaId id) {
        if (id.getName().isEmpty()) {
            return "";
        }
        return id.getName() + "#" + Long.toHexString(id.getStorageId());
    }

    /** Returns the text forms of replicas, separated by commas. */
    public static String text(List<ReplicaId> ids) {
        return ids.stream().map(Replicas::text).collect(Collectors.joining(", "));
    }
}
