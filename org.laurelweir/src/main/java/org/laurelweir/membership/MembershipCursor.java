package org.laurelweir.membership;

/**
 * A reader's position in the changes of one control instance's membership. Versions count within
 * one incarnation of the instance; a reader with a cursor of another incarnation gets the whole
 * view.
 *
 * @param control the control instance's name
 * @param controlIncarnation the control instance's incarnation
 * @param version the version of the last change that the reader has
 */
public record MembershipCursor(String control, long controlIncarnation, long version) {
    /** The cursor of a reader that has received nothing. */
    public static final MembershipCursor NONE = new MembershipCursor("", 0, 0);

    /** Returns whether both cursors are of the same incarnation of the same control instance. */
    public boolean isSameIncarnation(MembershipCursor other) {
        return control.equals(other.control) && controlIncarnation == other.controlIncarnation;
    }
}
