package org.laurelweir.pgm;

import java.util.ArrayList;
import java.util.List;

/** Lays out rows in columns for people. */
public final class Table {
    private static final String GAP = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    /**
     * Creates a table without rows.
     *
     * @param heading the columns' names, parted by commas
     */
    public Table(String heading) {
        mRows.add(List.of(heading.split(",")));
    }

    /** Adds a row of as many cells as the heading has. */
    public void add(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object c : cells) {
            row.add(c instanceof Double d ? String.format("%.1f", d) : String.valueOf(c));
        }
        mRows.add(row);
    }

    /** Returns the lines; none where there is no row. */
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
            s.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length())).append(GAP);
        }
        return s.toString().stripTrailing();
    }
}
