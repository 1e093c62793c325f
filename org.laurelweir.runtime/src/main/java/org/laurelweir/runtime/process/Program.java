package org.laurelweir.runtime.process;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.log.Logging;

/** Starts a program's service, stops it on SIGTERM or SIGINT, and gives the process's exit code. */
public final class Program {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int EXIT_DIVISOR = 1000;

    private Program() {}

    /**
     * Runs a service until the process is told to stop, and exits.
     *
     * @param name the program's name, for messages
     * @param create makes the service; its failure ends the process
     */
    public static void run(String name, Supplier<? extends Service> create) {
        Thread.setDefaultUncaughtExceptionHandler(Program::uncaught);
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
            fail(name + " failed", e);
        }
    }

    private static void uncaught(Thread thread, Throwable failure) {
        endOnError("thread " + thread.getName() + " failed", failure);
        sLogger.atSevere().withCause(failure).log("thread %s ended", thread.getName());
    }

    /**
     * Ends the process if a failure is an {@link Error}, such as a full heap: whoever catches all
     * failures of a connection or a task would go on with a state that is half changed.
     *
     * @param what what failed, for the log
     * @param failure what was caught
     */
    public static void endOnError(String what, Throwable failure) {
        if (failure instanceof Error) {
            fail(what, failure);
        }
    }

    /**
     * Logs a failure and ends the process with the code of it.
     *
     * @param what what failed, for the log
     * @param failure why
     */
    public static void fail(String what, Throwable failure) {
        try {
            sLogger.atSevere().withCause(failure).log("%s", what);
        } finally {
            // A full heap may keep the line from being written, but not the end of the process.
            halt(codeOf(failure));
        }
    }

    /** Returns the code under which a process ends after a failure. */
    static ResultCode codeOf(Throwable failure) {
        if (failure instanceof LaurelweirException e) {
            return e.getCode();
        }
        boolean isMemory = failure instanceof OutOfMemoryError;
        return isMemory ? ResultCode.OUT_OF_MEMORY : ResultCode.INTERNAL;
    }

    /**
     * Ends the process after a failure that has been logged.
     *
     * @param failure why
     */
    public static void halt(Throwable failure) {
        halt(codeOf(failure));
    }

    /**
     * Ends the process after a failure that it can't go on with. Shutdown hooks are left out: they
     * would wait for a loop that has ended.
     *
     * @param code why
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
     * @param code what ended the process
     */
    public static int exitCode(ResultCode code) {
        int number = code.number();
        return number / EXIT_DIVISOR * 10 + number % 10;
    }
}
