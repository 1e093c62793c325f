package org.laurelweir.membership;

/**
 * How far a reader's view of the membership reaches. Versions count within one run of one control
 * instance; a cursor of another run asks for the whole view.
 */
public record MembershipCursor(String control, long controlIncarnation, long version) {
    /** The cursor of a reader that has nothing yet. */
    public static final MembershipCursor NONE = new MembershipCursor("", 0, 0);

    /** Returns whether both are of the same run of the same control instance. */
    public boolean isSameRun(MembershipCursor other) {
        return control.equals(other.control) && controlIncarnation == other.controlIncarnation;
    }
}
