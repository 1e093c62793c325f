package org.laurelweir.runtime.process;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.log.Logging;

/** Starts a program's service, stops it on SIGTERM or SIGINT, and sets the process's exit code. */
public final class Program {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int EXIT_DIVISOR = 1000;

    private Program() {}

    /**
     * Runs a service until the process receives SIGTERM or SIGINT.
     *
     * @param name the program's name, for messages
     * @param create creates the service; an exception from it ends the process
     */
    public static void run(String name, Supplier<? extends Service> create) {
        Thread.setDefaultUncaughtExceptionHandler(Program::handleUncaught);
        try {
            Service service = create.get();
            service.start();
            Runtime.getRuntime().addShutdownHook(new Thread(service::stop, name + "-stop"));
            new CountDownLatch(1).await();
        } catch (LaurelweirException e) {
            System.err.println(name + ": " + e);
            System.exit(exitCode(e.getCode()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            sLogger.atSevere().withCause(e).log("%s failed", name);
            System.exit(exitCode(ResultCode.INTERNAL));
        } catch (Error e) {
            logAndHalt(name + " failed", e);
        }
    }

    private static void handleUncaught(Thread thread, Throwable failure) {
        haltOnError("thread " + thread.getName() + " failed", failure);
        sLogger.atSevere().withCause(failure).log("thread %s ended", thread.getName());
    }

    /**
     * Ends the process if a failure is an {@link Error}, such as an OutOfMemoryError. Code that
     * catches every failure of a connection or a task would otherwise continue with partly changed
     * state.
     *
     * @param what the thing that failed, for the log
     * @param failure the caught failure
     */
    public static void haltOnError(String what, Throwable failure) {
        if (failure instanceof Error) {
            logAndHalt(what, failure);
        }
    }

    /**
     * Logs a failure and ends the process with the exit code of that failure.
     *
     * @param what the thing that failed, for the log
     * @param failure the cause
     */
    public static void logAndHalt(String what, Throwable failure) {
        try {
            sLogger.atSevere().withCause(failure).log("%s", what);
        } finally {
            // With a full heap, logging may fail. The process must end in any case.
            halt(resultCodeOf(failure));
        }
    }

    /** Returns the result code with which a process ends after a failure. */
    static ResultCode resultCodeOf(Throwable failure) {
        if (failure instanceof LaurelweirException e) {
            return e.getCode();
        }
        boolean isOutOfMemory = failure instanceof OutOfMemoryError;
        return isOutOfMemory ? ResultCode.OUT_OF_MEMORY : ResultCode.INTERNAL;
    }

    /**
     * Ends the process after a failure that is already logged.
     *
     * @param failure the cause
     */
    public static void halt(Throwable failure) {
        halt(resultCodeOf(failure));
    }

    /**
     * Ends the process after a fatal failure. Shutdown hooks don't run, because they would wait for
     * a reducer loop that has ended.
     *
     * @param code the cause
     */
    public static void halt(ResultCode code) {
        try {
            Logging.flushBeforeHalt();
        } finally {
            Runtime.getRuntime().halt(exitCode(code));
        }
    }

    /**
     * Returns the exit code of a result code: its thousands digit times ten plus its last digit, so
     * that 6001 gives 61, as docs/CODES.md lists.
     *
     * @param code the result code with which the process ends
     */
    public static int exitCode(ResultCode code) {
        int number = code.number();
        return number / EXIT_DIVISOR * 10 + number % 10;
    }
}
