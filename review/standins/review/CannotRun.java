package review;

/** The case could not run, which says nothing about the rule. */
public final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    public CannotRun(String message) {
        super(message);
    }
}
