package org.laurelweir.coordination;

import java.time.Duration;
import java.util.Map;
import org.laurelweir.consensus.ConsensusConfig;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.membership.MembershipConfig;

/**
 * What one control instance is told at its start.
 *
 * @param replica its name with its disk's id
 * @param incarnation rises with every start
 * @param addresses every control instance by name, this one included, host:port
 * @param exchangeInterval how often sidecars and routers exchange
 * @param shareInterval how often control instances tell each other what they hear
 * @param staleAfter how long contact with the leader shows that nothing newer was accepted
 * @param consensus times and bounds of the replicated log
 * @param membership times and bounds of the membership
 * @param limits how much the state machine keeps
 * @param autoJoin whether control instances that no settings name join by themselves; the name of
 *     each is its address then
 */
public record ControlConfig(
        ReplicaId replica,
        long incarnation,
        Map<String, String> addresses,
        Duration exchangeInterval,
        Duration shareInterval,
        Duration staleAfter,
        ConsensusConfig consensus,
        MembershipConfig membership,
        ControlState.Limits limits,
        boolean autoJoin) {

    /**
     * Returns a builder with the defaults.
     *
     * @param replica the instance's name with its disk's id
     * @param incarnation rises with every start
     * @param addresses every control instance by name, this one included, host:port
     */
    public static Builder builder(
            ReplicaId replica, long incarnation, Map<String, String> addresses) {
        return new Builder(replica, incarnation, addresses);
    }

    /** Returns the instance's name. */
    public String name() {
        return replica.name();
    }

    /** Returns the instance's own address. */
    public String address() {
        return addresses.get(name());
    }

    /** Returns where a replica is reached, or empty for none or one that no settings name. */
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
        private Duration mShareInterval = Duration.ofMillis(500);
        private ConsensusConfig mConsensus = ConsensusConfig.builder().build();
        private MembershipConfig mMembership;
        private ControlState.Limits mLimits = ControlState.Limits.DEFAULT;
        private boolean mAutoJoin;

        private Builder(ReplicaId replica, long incarnation, Map<String, String> addresses) {
            mReplica = replica;
            mIncarnation = incarnation;
            mAddresses = Map.copyOf(addresses);
            mMembership = MembershipConfig.builder(replica.name(), incarnation).build();
        }

        /** Sets how often sidecars and routers exchange, and control instances share. */
        public Builder intervals(Duration exchange, Duration share) {
            mExchangeInterval = exchange;
            mShareInterval = share;
            return this;
        }

        /** Lets control instances join by themselves; the name of each is its address. */
        public Builder autoJoin(boolean open) {
            mAutoJoin = open;
            return this;
        }

        /** Sets times and bounds of the replicated log. */
        public Builder consensus(ConsensusConfig agreement) {
            mConsensus = agreement;
            return this;
        }

        /** Sets times and bounds of the membership. */
        public Builder membership(MembershipConfig membership) {
            mMembership = membership;
            return this;
        }

        /** Sets how much the state machine keeps. */
        public Builder limits(ControlState.Limits limits) {
            mLimits = limits;
            return this;
        }

        /** Returns the configuration. */
        public ControlConfig build() {
            return new ControlConfig(
                    mReplica,
                    mIncarnation,
                    mAddresses,
                    mExchangeInterval,
                    mShareInterval,
                    mConsensus.electionTimeout().multipliedBy(2),
                    mConsensus,
                    mMembership,
                    mLimits,
                    mAutoJoin);
        }
    }
}
