package org.laurelweir.direct;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a stream of events at the ends of whole events. A backend server that breaks off may do so
 * in the middle of an event; passed on, the torn piece would be joined to what another one goes on
 * with, and the caller would read a broken event.
 */
final class EventFramer {
    private static final byte[] EMPTY = new byte[0];
    private static final String ID_FIELD = "id:";

    private byte[] mIncomplete = EMPTY;
    private String mLastId = "";
    private int mEventCount;

    /** Takes the next piece; returns the whole events that it completes, or an empty array. */
    byte[] add(byte[] piece) {
        byte[] all = mIncomplete.length == 0 ? piece : concat(mIncomplete, piece);
        int end = 0;
        int from = Math.max(0, mIncomplete.length - 3);
        for (int i = from; i < all.length; i++) {
            if (endsEvent(all, i)) {
                recordEvent(all, end, i + 1);
                end = i + 1;
            }
        }
        mIncomplete = end == all.length ? EMPTY : Arrays.copyOfRange(all, end, all.length);
        return end == all.length ? all : Arrays.copyOf(all, end);
    }

    private static byte[] concat(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }

    /** An empty line ends an event; lines end with a line feed, with or without a return before. */
    private static boolean endsEvent(byte[] all, int i) {
        if (all[i] != '\n' || i == 0) {
            return false;
        }
        if (all[i - 1] == '\n') {
            return true;
        }
        return i >= 2 && all[i - 1] == '\r' && all[i - 2] == '\n';
    }

    private void recordEvent(byte[] all, int start, int end) {
        String event = new String(all, start, end - start, StandardCharsets.UTF_8);
        mEventCount++;
        event.lines()
                .filter(l -> l.startsWith(ID_FIELD))
                .reduce((a, b) -> b)
                .ifPresent(l -> mLastId = l.substring(ID_FIELD.length()).strip());
    }

    /** Returns the id of the last whole event, or empty. */
    String lastId() {
        return mLastId;
    }

    /** Returns how many whole events have passed. */
    int eventCount() {
        return mEventCount;
    }

    /** Returns what follows the last whole event and forgets it. */
    byte[] takeIncomplete() {
        byte[] rest = mIncomplete;
        mIncomplete = EMPTY;
        return rest;
    }
}
