package org.laurelweir.runtime.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.NullConfiguration;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.laurelweir.lib.Service;

/**
 * The log of a program: Flogger for those who write, Log4j behind it. Flogger finds its backend by
 * the service file of flogger-log4j2-backend, the only backend among our libraries.
 */
public final class Logging implements Service {
    private static final String APPENDER = "main";
    private static final String PLAIN_PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC} %-5level %logger{1}: %msg"
                    + "%replace{ %X}{^ \\{\\}$}{}%n%xEx";
    private static final String JSON_TEMPLATE =
            "classpath:org/laurelweir/runtime/log/json-lines.json";

    private final LogSettings mSettings;

    /**
     * Creates the log; nothing changes until it is started.
     *
     * @param settings how to log
     */
    public Logging(LogSettings settings) {
        mSettings = settings;
    }

    /** Puts the settings in force, also for loggers that exist already. */
    @Override
    public void start() {
        ConfigurationBuilder<BuiltConfiguration> builder =
                ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setConfigurationName("laurelweir");
        builder.setStatusLevel(Level.ERROR);
        builder.add(appender(builder).add(layout(builder)));
        Level level = Level.valueOf(mSettings.level().name());
        builder.add(builder.newRootLogger(level).add(builder.newAppenderRef(APPENDER)));
        // Netty and gRPC tell at DEBUG and INFO what only their developers need.
        builder.add(builder.newLogger("io", Level.WARN));
        Configurator.reconfigure(builder.build(false));
        JulBridge.install();
    }

    private AppenderComponentBuilder appender(ConfigurationBuilder<?> builder) {
        if (mSettings.file().isEmpty()) {
            return builder.newAppender(APPENDER, ConsoleAppender.PLUGIN_NAME)
                    .addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR);
        }
        return builder.newAppender(APPENDER, "File")
                .addAttribute("fileName", mSettings.file().get().toString());
    }

    private LayoutComponentBuilder layout(ConfigurationBuilder<?> builder) {
        return switch (mSettings.format()) {
            case PLAIN -> builder.newLayout("PatternLayout").addAttribute("pattern", PLAIN_PATTERN);
            case JSON ->
                    builder.newLayout("JsonTemplateLayout")
                            .addAttribute("eventTemplateUri", JSON_TEMPLATE);
        };
    }

    /** Closes the file; later lines are lost. The log may be started again by another object. */
    @Override
    public void stop() {
        // Shutting Log4j down instead would leave existing loggers bound to a dead context.
        Configurator.reconfigure(new NullConfiguration());
    }
}
