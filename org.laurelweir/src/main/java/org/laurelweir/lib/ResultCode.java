package org.laurelweir.lib;

/**
 * The result codes with their numbers. A number never changes once it is released.
 *
 * <p>The thousands digit tells the kind: 1 the caller's fault, 2 not run, 3 run or possibly run, 4
 * settings and consensus, 5 storage, 6 a program's start and usage. A code from 2000 to 2999 is
 * given only if it is certain that the request was not run and will not be.
 */
public enum ResultCode {
    OK(0, 200),

    BAD_REQUEST(1001, 400),
    UNAUTHENTICATED(1002, 401),
    UNKNOWN_MODEL(1003, 404),
    UNKNOWN_SERVICE(1004, 404),
    BODY_TOO_LARGE(1005, 413),
    HEADERS_TOO_LARGE(1006, 431),
    METHOD_NOT_ALLOWED(1007, 405),
    REQUEST_TOO_SLOW(1008, 408),
    TOO_MANY_CONNECTIONS(1009, 503),
    IDEMPOTENCY_KEY_REUSED(1010, 422),
    CALLER_GONE(1011, 499),

    OVERLOADED(2001, 503),
    NO_BACKEND_SERVER(2002, 503),
    ACCOUNT_LIMIT(2003, 429),
    DEADLINE_UNREACHABLE(2004, 503),
    DRAINING(2005, 503),
    SHUTTING_DOWN(2006, 503),
    REVOKED(2007, 503),
    OTHER_INCARNATION(2008, 503),
    CLAIM_UNAVAILABLE(2009, 503),
    BACKEND_REFUSED(2010, 502),
    DUPLICATE_ATTEMPT(2011, 409),
    CHAT_ELSEWHERE(2012, 503),
    SETTINGS_UNKNOWN(2013, 503),
    KEYS_UNCONFIRMED(2014, 503),
    REQUEST_QUARANTINED(2015, 503),
    STREAM_UNKNOWN(2016, 503),
    STREAM_VERSION_GONE(2017, 503),

    OUTCOME_UNKNOWN(3001, 504),
    ANSWER_CUT(3002, 502),
    ALREADY_RUN(3003, 409),
    BACKEND_FAILED(3004, 502),
    CANCELLED(3005, 499),
    DEADLINE_EXCEEDED(3006, 504),
    OUTPUT_NOT_KEPT(3007, 410),

    SETTINGS_CONFLICT(4001, 409),
    SETTINGS_INVALID(4002, 400),
    NOT_LEADER(4003, 503),
    NO_QUORUM(4004, 503),
    POSSIBLY_STALE(4005, 503),
    CHANGE_ID_REUSED(4006, 409),
    UNKNOWN_BACKEND_SERVER(4007, 404),
    STALE_FENCE(4008, 409),
    MEMBERSHIP_CHANGE_PENDING(4009, 409),
    NOT_QUARANTINED(4010, 404),

    LOG_CORRUPT(5001, 500),
    DISK_FAILED(5002, 500),
    SNAPSHOT_CORRUPT(5003, 500),
    DISK_FULL(5004, 503),

    BAD_SETTINGS_FILE(6001, 500),
    CANNOT_LISTEN(6002, 500),
    USAGE(6003, 500),
    UNREACHABLE(6004, 503),
    INTERNAL(6005, 500),
    OUT_OF_MEMORY(6006, 500);

    private final int mNumber;
    private final int mHttpStatus;

    ResultCode(int number, int httpStatus) {
        mNumber = number;
        mHttpStatus = httpStatus;
    }

    /** Returns the number, as it stands in answers, logs and docs/CODES.md. */
    public int number() {
        return mNumber;
    }

    /** Returns the HTTP status that a caller gets with this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns whether this code guarantees that the request was not run and will not be. */
    public boolean isNotRun() {
        return mNumber >= 2000 && mNumber < 3000;
    }

    /**
     * Returns the code with a number.
     *
     * @param number the number, see {@link #number()}
     * @return the code, or {@link #INTERNAL} for a number that this version does not know
     */
    public static ResultCode of(int number) {
        for (ResultCode c : values()) {
            if (c.mNumber == number) {
                return c;
            }
        }
        return INTERNAL;
    }
}
