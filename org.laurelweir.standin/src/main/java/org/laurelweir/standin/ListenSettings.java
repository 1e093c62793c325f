package org.laurelweir.standin;

/**
 * Where a stand-in listens.
 *
 * @param host the IP address to bind; loopback if absent
 * @param port the port to bind; 0, also if absent, lets the operating system choose
 * @param portFile the file that receives the bound port, or null
 */
public record ListenSettings(String host, int port, String portFile) {
    /** Any port on the loopback address. */
    public static final ListenSettings LOOPBACK = new ListenSettings(null, 0, null);

    private static final String DEFAULT_HOST = "127.0.0.1";

    /** Fills in the default address. */
    public ListenSettings {
        host = host == null ? DEFAULT_HOST : host;
    }
}
