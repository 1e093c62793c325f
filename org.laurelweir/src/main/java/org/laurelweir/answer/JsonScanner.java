package org.laurelweir.answer;

/**
 * Finds the end of a JSON text without parsing it. An object, array or string tells where it ends;
 * a number does not, so that a cut one is taken for a whole one.
 */
final class JsonScanner {
    private int mDepth;
    private boolean mIsInString;
    private boolean mIsEscaped;
    private boolean mIsEmpty = true;

    /** Adds the next bytes of the text. */
    void add(byte[] bytes) {
        for (byte b : bytes) {
            if (mIsInString) {
                readInString(b);
            } else {
                read(b);
            }
        }
    }

    private void readInString(byte b) {
        if (mIsEscaped) {
            mIsEscaped = false;
        } else if (b == '\\') {
            mIsEscaped = true;
        } else if (b == '"') {
            mIsInString = false;
        }
    }

    private void read(byte b) {
        switch (b) {
            case '{', '[' -> mDepth++;
            case '}', ']' -> mDepth--;
            case '"' -> mIsInString = true;
            case ' ', '\t', '\r', '\n' -> {
                return;
            }
            default -> {}
        }
        mIsEmpty = false;
    }

    /** Returns whether the text is not empty and every object, array and string in it is closed. */
    boolean isClosed() {
        return !mIsEmpty && !mIsInString && mDepth <= 0;
    }
}
