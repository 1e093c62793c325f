package org.laurelweir.pgm;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** The environment that a command reads and the streams that it writes to. */
public final class Console {
    private static final JsonInclude.Value NON_NULL =
            JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL);
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().defaultPropertyInclusion(NON_NULL).build();

    private final PrintStream mOut;
    private final PrintStream mErr;
    private final Map<String, String> mEnvironment;

    /**
     * Creates a console.
     *
     * @param out the stream for results
     * @param err the stream for errors and messages
     * @param environment the process's environment variables
     */
    public Console(PrintStream out, PrintStream err, Map<String, String> environment) {
        mOut = out;
        mErr = err;
        mEnvironment = Map.copyOf(environment);
    }

    /** Returns an environment variable's value, or an empty string. */
    public String variable(String name) {
        return mEnvironment.getOrDefault(name, "");
    }

    /** Returns the name of the user who runs the command. */
    public String user() {
        return System.getProperty("user.name", "");
    }

    /** Writes a line of the result. */
    public void print(String line) {
        mOut.println(line);
    }

    /** Writes lines of the result. */
    public void print(List<String> lines) {
        lines.forEach(mOut::println);
    }

    /** Writes a result for scripts as a JSON document on one line. */
    public void printJson(Record result) {
        try {
            mOut.println(MAPPER.writeValueAsString(result));
        } catch (JsonProcessingException e) {
            throw new LaurelweirException(ResultCode.INTERNAL, e.getMessage(), e);
        }
    }

    /** Returns the stream for results, for help and completion scripts. */
    public PrintStream out() {
        return mOut;
    }

    /** Writes a message or an error to the error stream, apart from the result. */
    public void printMessage(String line) {
        mErr.println(line);
    }
}
