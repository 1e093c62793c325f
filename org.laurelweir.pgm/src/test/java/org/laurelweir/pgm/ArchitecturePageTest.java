package org.laurelweir.pgm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the types and files that docs/ARCHITECTURE.md names exist in the sources. */
class ArchitecturePageTest {
    private static final Path ROOT = Path.of(System.getProperty("laurelweir.root"));
    private static final Pattern TYPE = Pattern.compile("`(?:[a-z.]+\\.)?([A-Z]\\w*[a-z]\\w*)`");
    private static final Pattern FILE = Pattern.compile("`([a-z/]+/[A-Z]\\w*\\.java)`");

    @Test
    void namesOnlyExistingTypesAndFiles() throws IOException {
        String page = Files.readString(ROOT.resolve("docs/ARCHITECTURE.md"));
        List<Path> files = sources();
        String code = files.stream().map(ArchitecturePageTest::read).collect(Collectors.joining());
        assertThat(named(TYPE, page)).isNotEmpty().allMatch(n -> declaration(n).test(code));
        assertThat(named(FILE, page))
                .isNotEmpty()
                .allMatch(n -> files.stream().anyMatch(f -> f.endsWith(n)));
    }

    private static Predicate<String> declaration(String type) {
        return Pattern.compile("\\b(class|record|interface|enum) " + type + "\\b").asPredicate();
    }

    private static List<String> named(Pattern pattern, String page) {
        return pattern.matcher(page).results().map((MatchResult r) -> r.group(1)).toList();
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> modules = Files.list(ROOT)) {
            return modules.map(m -> m.resolve("src/main/java"))
                    .filter(Files::isDirectory)
                    .flatMap(ArchitecturePageTest::javaFiles)
                    .toList();
        }
    }

    private static Stream<Path> javaFiles(Path folder) {
        try {
            return Files.walk(folder).filter(f -> f.toString().endsWith(".java"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
