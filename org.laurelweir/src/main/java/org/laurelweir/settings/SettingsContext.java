package org.laurelweir.settings;

/**
 * The process and the call for which settings are looked up. A component is null if it is unknown;
 * nodes whose paths name that level do not apply then.
 *
 * @param region the region of the process
 * @param dataCentre the data centre of the process
 * @param service the called service
 * @param account the client account that sends the call
 * @param call the call, which rules match; null if there is none
 */
public record SettingsContext(
        String region, String dataCentre, String service, String account, Call call) {

    /**
     * The attributes of a call that rules match.
     *
     * @param method the HTTP method
     * @param path the URL's path
     * @param model the requested model, or null
     */
    public record Call(String method, String path, String model) {}

    /** Returns a context with only the region and data centre of the process. */
    public static SettingsContext of(String region, String dataCentre) {
        return new SettingsContext(region, dataCentre, null, null, null);
    }

    /** Returns a copy with a service and a client account, either of which may be null. */
    public SettingsContext with(String newService, String newAccount) {
        return new SettingsContext(region, dataCentre, newService, newAccount, call);
    }

    /** Returns a copy with a call. */
    public SettingsContext with(Call newCall) {
        return new SettingsContext(region, dataCentre, service, account, newCall);
    }
}
