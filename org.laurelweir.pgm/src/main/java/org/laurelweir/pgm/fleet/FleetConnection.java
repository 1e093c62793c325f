package org.laurelweir.pgm.fleet;

import com.codahale.metrics.MetricRegistry;
import io.grpc.Channel;
import java.time.Duration;
import java.util.List;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.TrafficCounters;

/** One invocation's connections to the fleet. */
public final class FleetConnection implements Service {
    private final EventLoops mLoops = new EventLoops("fleet", 1);
    private final Channels mChannels =
            Channels.builder(mLoops, new TrafficCounters(new MetricRegistry())).build();
    private final Duration mTimeout;
    private final Runnable mPause;
    private final ControlClient mControl;

    /**
     * Creates connections that open with their first call.
     *
     * @param control control instances, host:port
     * @param timeout of one try
     * @param pause waits before a try is repeated
     */
    public FleetConnection(List<String> control, Duration timeout, Runnable pause) {
        mTimeout = timeout;
        mPause = pause;
        mControl = new ControlClient(mChannels, control, timeout, pause);
    }

    /** Returns the client to control. */
    public ControlClient control() {
        return mControl;
    }

    /** Returns a reader of decisions, for one question. */
    public DecisionReader decisions() {
        return new DecisionReader(mChannels, mTimeout);
    }

    /** Returns the channel to another program. */
    public Channel channel(String address) {
        return mChannels.get(address);
    }

    /** Waits before something is asked again. */
    public void pause() {
        mPause.run();
    }

    /** Returns the longest wait for one answer. */
    public Duration timeout() {
        return mTimeout;
    }

    @Override
    public void start() {
        mChannels.start();
    }

    @Override
    public void stop() {
        mChannels.stop();
        mLoops.stop();
    }
}
