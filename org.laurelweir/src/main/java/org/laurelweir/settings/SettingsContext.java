package org.laurelweir.settings;

/**
 * For what settings are looked up. A part that is null is not known; nodes that name it do not
 * apply.
 *
 * @param region the region of the process that asks
 * @param dataCentre its data centre
 * @param service the service that is called
 * @param account the client account that calls
 * @param call the call itself, for rules; null where there is none
 */
public record SettingsContext(
        String region, String dataCentre, String service, String account, Call call) {

    /**
     * One call, as rules match it.
     *
     * @param method the HTTP method
     * @param path the URL's path
     * @param model the model asked for, or null
     */
    public record Call(String method, String path, String model) {}

    /** Returns a context that knows only where the process runs. */
    public static SettingsContext of(String region, String dataCentre) {
        return new SettingsContext(region, dataCentre, null, null, null);
    }

    /** Returns this context for a service and a client account, either of which may be null. */
    public SettingsContext with(String newService, String newAccount) {
        return new SettingsContext(region, dataCentre, newService, newAccount, call);
    }

    /** Returns this context for one call. */
    public SettingsContext with(Call newCall) {
        return new SettingsContext(region, dataCentre, service, account, newCall);
    }
}
