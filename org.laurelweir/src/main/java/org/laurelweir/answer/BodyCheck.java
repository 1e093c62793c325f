package org.laurelweir.answer;

/**
 * Finds out from the content of a body that has ended whether it was broken off. This matters most
 * for a body that ends with its connection, because a crash of the server ends it in the same way.
 *
 * <p>A stream of events is broken off if it ends inside an event, whatever its framing, or if its
 * connection ends it before the first event. A JSON text that ends with its connection is broken
 * off if it is not closed. Of any other body, the content tells nothing.
 */
public final class BodyCheck {
    private final BodyFraming mFraming;
    private final EventFramer mEvents;
    private final JsonScanner mJson;

    /** Creates the check of a body that has not begun. */
    public BodyCheck(BodyType type, BodyFraming framing) {
        boolean isUnprovenJson = type == BodyType.JSON && !framing.provesEnd();
        mFraming = framing;
        mEvents = type == BodyType.EVENTS ? new EventFramer() : null;
        mJson = isUnprovenJson ? new JsonScanner() : null;
    }

    /** Adds the next bytes of the body. */
    public void add(byte[] bytes) {
        if (mEvents != null) {
            mEvents.add(bytes);
        } else if (mJson != null) {
            mJson.add(bytes);
        }
    }

    /** Returns whether the body would be broken off if it ended here. */
    public boolean isBrokenOff() {
        if (mEvents != null) {
            return isBrokenOff(mEvents, mFraming);
        }
        return mJson != null && !mJson.isClosed();
    }

    /** Returns whether a stream of events would be broken off if it ended here. */
    public static boolean isBrokenOff(EventFramer events, BodyFraming framing) {
        boolean isEmpty = events.eventCount() == 0 && !framing.provesEnd();
        return isEmpty || events.isInsideEvent();
    }
}
