package org.laurelweir.direct;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into complete events. If a backend server fails in the
 * middle of an event, the incomplete event must not be forwarded: the stream may be resumed at
 * another server, and the caller would read the two parts as one corrupt event.
 */
final class EventFramer {
    private static final byte[] EMPTY = new byte[0];
    private static final String ID_FIELD = "id:";

    private byte[] mIncomplete = EMPTY;
    private String mLastId = "";
    private int mEventCount;

    /**
     * Adds the next data of the stream; returns the events that it completes, or an empty array.
     */
    byte[] add(byte[] data) {
        byte[] all = mIncomplete.length == 0 ? data : concat(mIncomplete, data);
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

    /** An empty line ends an event; a line ends with LF or CR LF. */
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

    /** Returns the last id in any complete event, or empty. */
    String lastId() {
        return mLastId;
    }

    /** Returns the number of complete events so far. */
    int eventCount() {
        return mEventCount;
    }

    /** Removes and returns the data after the last complete event. */
    byte[] takeIncomplete() {
        byte[] incomplete = mIncomplete;
        mIncomplete = EMPTY;
        return incomplete;
    }
}
