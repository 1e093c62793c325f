package org.laurelweir.coordination;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import org.laurelweir.consensus.ConsensusConfig;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.membership.MembershipConfig;

/**
 * Configuration of a control instance.
 *
 * @param replica the instance's replica id, made of its name and the storage id of its disk
 * @param incarnation the incarnation of the instance, which rises with every start
 * @param addresses the addresses (host:port) of all configured control instances by name, this one
 *     included
 * @param exchangeInterval interval at which sidecars and routers exchange with control
 * @param peerUpdateInterval interval at which a control instance requests updates from its peers
 * @param staleAfter time after the last confirmed contact with the leader from which settings count
 *     as possibly stale
 * @param consensus configuration of the replicated log
 * @param membership configuration of the membership of backend servers
 * @param limits limits of the state machine
 * @param autoJoin whether control instances that are not configured may join by themselves; the
 *     name of each instance is then its address
 * @param regions the region of each data centre; empty if the data centres are not known
 * @param toleratedLosses number of lost voters that the log is promised to survive; empty if
 *     nothing is promised
 */
public record ControlConfig(
        ReplicaId replica,
        long incarnation,
        Map<String, String> addresses,
        Duration exchangeInterval,
        Duration peerUpdateInterval,
        Duration staleAfter,
        ConsensusConfig consensus,
        MembershipConfig membership,
        ControlState.Limits limits,
        boolean autoJoin,
        Map<String, String> regions,
        OptionalInt toleratedLosses) {

    /**
     * Returns a builder with the default values.
     *
     * @param replica the instance's replica id, made of its name and the storage id of its disk
     * @param incarnation the incarnation of the instance, which rises with every start
     * @param addresses the addresses (host:port) of all configured control instances by name, this
     *     one included
     */
    public static Builder builder(
            ReplicaId replica, long incarnation, Map<String, String> addresses) {
        return new Builder(replica, incarnation, addresses);
    }

    /** Returns the instance's name. */
    public String name() {
        return replica.name();
    }

    /** Returns the instance's own address, host:port. */
    public String address() {
        return addresses.get(name());
    }

    /** Returns the address of a replica; empty if the id is null or the address is unknown. */
    String addressOf(ReplicaId id) {
        if (id == null) {
            return "";
        }
        return addresses.getOrDefault(id.name(), autoJoin ? id.name() : "");
    }

    /** Builds a {@link ControlConfig}. */
    public static final class Builder {
        private final ReplicaId mReplica;
        private final long mIncarnation;
        private final Map<String, String> mAddresses;
        private Duration mExchangeInterval = Duration.ofSeconds(1);
        private Duration mPeerUpdateInterval = Duration.ofMillis(500);
        private ConsensusConfig mConsensus = ConsensusConfig.builder().build();
        private MembershipConfig mMembership;
        private ControlState.Limits mLimits = ControlState.Limits.DEFAULT;
        private boolean mAutoJoin;
        private Map<String, String> mRegions = Map.of();
        private OptionalInt mToleratedLosses = OptionalInt.empty();

        private Builder(ReplicaId replica, long incarnation, Map<String, String> addresses) {
            mReplica = replica;
            mIncarnation = incarnation;
            mAddresses = Map.copyOf(addresses);
            mMembership = MembershipConfig.builder(replica.name(), incarnation).build();
        }

        /**
         * Sets the interval of exchanges with sidecars and routers, and that of updates between
         * control instances.
         */
        public Builder intervals(Duration exchange, Duration peerUpdate) {
            mExchangeInterval = exchange;
            mPeerUpdateInterval = peerUpdate;
            return this;
        }

        /**
         * Sets whether control instances may join by themselves. The name of each is then its
         * address.
         */
        public Builder autoJoin(boolean autoJoin) {
            mAutoJoin = autoJoin;
            return this;
        }

        /** Sets the region of each data centre. Without them every name is accepted. */
        public Builder regions(Map<String, String> regions) {
            mRegions = Map.copyOf(regions);
            return this;
        }

        /** Sets the number of lost voters that the log is promised to survive, if any. */
        public Builder toleratedLosses(OptionalInt losses) {
            mToleratedLosses = losses;
            return this;
        }

        /** Sets the configuration of the replicated log. */
        public Builder consensus(ConsensusConfig consensus) {
            mConsensus = consensus;
            return this;
        }

        /** Sets the configuration of the membership of backend servers. */
        public Builder membership(MembershipConfig membership) {
            mMembership = membership;
            return this;
        }

        /** Sets the limits of the state machine. */
        public Builder limits(ControlState.Limits limits) {
            mLimits = limits;
            return this;
        }

        /** Returns the configuration with the values set so far. */
        public ControlConfig build() {
            return new ControlConfig(
                    mReplica,
                    mIncarnation,
                    mAddresses,
                    mExchangeInterval,
                    mPeerUpdateInterval,
                    mConsensus.electionTimeout().multipliedBy(2),
                    mConsensus,
                    mMembership,
                    mLimits,
                    mAutoJoin,
                    mRegions,
                    mToleratedLosses);
        }
    }
}
