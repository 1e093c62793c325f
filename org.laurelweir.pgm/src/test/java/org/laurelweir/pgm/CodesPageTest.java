package org.laurelweir.pgm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.process.Program;

/** Checks that the table in docs/CODES.md matches {@link ResultCode}. */
class CodesPageTest {
    private static final int FIRST_CODE_WITH_EXIT_STATUS = 3000;

    private record Row(
            String number, String name, String http, String exit, String meaning, String action) {
        static Row of(String line) {
            String[] cells = line.substring(1).split("\\|");
            List<String> c = Arrays.stream(cells).map(String::strip).toList();
            return new Row(c.get(0), c.get(1), c.get(2), c.get(3), c.get(4), c.get(5));
        }

        static Row of(ResultCode code, Row page) {
            boolean hasStatus =
                    code == ResultCode.OK || code.number() >= FIRST_CODE_WITH_EXIT_STATUS;
            return new Row(
                    Integer.toString(code.number()),
                    code.name(),
                    Integer.toString(code.httpStatus()),
                    hasStatus ? Integer.toString(Program.exitCode(code)) : "–",
                    page.meaning(),
                    page.action());
        }
    }

    @Test
    void listsEveryCodeAndNoOther() throws IOException {
        List<Row> rows = rows();
        assertThat(rows.stream().map(Row::name))
                .containsExactly(
                        Stream.of(ResultCode.values()).map(Enum::name).toArray(String[]::new));
        for (Row row : rows) {
            assertThat(row).isEqualTo(Row.of(ResultCode.valueOf(row.name()), row));
            assertThat(row.meaning()).isNotEmpty();
            assertThat(row.action()).isNotEmpty();
        }
    }

    @Test
    void givesEachExitStatusOneMeaning() throws IOException {
        assertThat(rows().stream().map(Row::exit).filter(e -> !e.equals("–")))
                .doesNotHaveDuplicates()
                .doesNotContain("1", "2");
    }

    private static List<Row> rows() throws IOException {
        Path page = Path.of(System.getProperty("laurelweir.root"), "docs", "CODES.md");
        try (Stream<String> lines = Files.lines(page)) {
            return lines.filter(l -> l.matches("\\| \\d+ \\| [A-Z].*")).map(Row::of).toList();
        }
    }
}
