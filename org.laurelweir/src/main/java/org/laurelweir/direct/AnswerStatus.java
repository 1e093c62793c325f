package org.laurelweir.direct;

/**
 * What the status of a backend server's answer says about its request. Our callers may rely on 408,
 * 421, 429 and 503: the request has not run and never will. From a backend server these statuses
 * promise that only together with the not-run header. Without it the server, or a proxy before it,
 * may have begun the request before it gave up, so that the caller must not get the status.
 */
final class AnswerStatus {
    private static final int REQUEST_TIMEOUT = 408;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private AnswerStatus() {}

    /**
     * Returns whether a status promises a caller that its request was not run and will not be. An
     * answer without the not-run header must not be forwarded with it.
     */
    static boolean promisesNotRun(int status) {
        return switch (status) {
            case REQUEST_TIMEOUT, MISDIRECTED_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE ->
                    true;
            default -> false;
        };
    }

    /**
     * Returns whether an answer without the not-run header is a failure of its server, after which
     * a repeatable request is sent to another one.
     */
    static boolean isFailure(int status) {
        return status >= FIRST_SERVER_ERROR || promisesNotRun(status);
    }

    /** Returns the message of the error that replaces an answer which may not be forwarded. */
    static String unprovenMessage(int status) {
        return "the backend server answered "
                + status
                + " and does not say that it did not run the request";
    }
}
