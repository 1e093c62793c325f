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

/** What a command reads of its surroundings and where it writes. */
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
     * @param out takes results
     * @param err takes errors and remarks
     * @param environment the process's variables
     */
    public Console(PrintStream out, PrintStream err, Map<String, String> environment) {
        mOut = out;
        mErr = err;
        mEnvironment = Map.copyOf(environment);
    }

    /** Returns a variable of the environment, or empty. */
    public String variable(String name) {
        return mEnvironment.getOrDefault(name, "");
    }

    /** Returns who runs the command. */
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

    /** Writes a result for scripts, one JSON document on a line. */
    public void printJson(Record result) {
        try {
            mOut.println(MAPPER.writeValueAsString(result));
        } catch (JsonProcessingException e) {
            throw new LaurelweirException(ResultCode.INTERNAL, e.getMessage(), e);
        }
    }

    /** Returns where help and scripts are written. */
    public PrintStream out() {
        return mOut;
    }

    /** Writes a remark or an error, beside the result. */
    public void remark(String line) {
        mErr.println(line);
    }
}
