package org.laurelweir.pgm;

import java.util.ArrayList;
import java.util.List;

/** Formats rows as a table of aligned columns. */
public final class Table {
    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    /**
     * Creates a table without rows.
     *
     * @param heading the columns' names, separated by commas
     */
    public Table(String heading) {
        mRows.add(List.of(heading.split(",")));
    }

    /** Adds a row, which must have as many cells as the heading. */
    public void add(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object c : cells) {
            row.add(c instanceof Double d ? String.format("%.1f", d) : String.valueOf(c));
        }
        mRows.add(row);
    }

    /** Returns the lines, heading first; none if no row was added. */
    public List<String> lines() {
        if (mRows.size() == 1) {
            return List.of();
        }
        int[] widths = new int[mRows.get(0).size()];
        for (List<String> row : mRows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        return mRows.stream().map(r -> line(r, widths)).toList();
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder s = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            s.append(row.get(i))
                    .append(" ".repeat(widths[i] - row.get(i).length()))
                    .append(COLUMN_GAP);
        }
        return s.toString().stripTrailing();
    }
}
