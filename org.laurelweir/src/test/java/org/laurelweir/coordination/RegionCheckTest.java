package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that changes of settings name regions of the deployment only. */
class RegionCheckTest {
    private final RegionCheck mCheck = new RegionCheck(List.of("north", "south", "south"));

    private static Command.ReplaceSettings tree(String regions) {
        Map<String, String> route = Map.of("route.allowed-regions", regions);
        return new Command.ReplaceSettings(Instant.EPOCH, 1, "ann", Map.of("/route=a", route), "");
    }

    // Guards against a misspelt region, which would leave a route without any allowed server.
    @Test
    void unknownRegionIsFound() {
        assertThat(mCheck.unknownRegions(tree("north, soth"))).containsExactly("soth");
        assertThat(mCheck.unknownRegions(tree("north,south"))).isEmpty();
    }

    @Test
    void unknownRegionOfAnAccountIsFound() {
        Command.NodeChange change =
                new Command.NodeChange(
                        "/account=acme",
                        0,
                        Map.of("account.allowed-regions", "east"),
                        List.of(),
                        false);
        Command command = new Command.ChangeSettings(Instant.EPOCH, "id", "ann", List.of(change));
        assertThat(mCheck.unknownRegions(command)).containsExactly("east");
    }

    @Test
    void everyNamePassesWhereRegionsAreNotConfigured() {
        assertThat(new RegionCheck(List.of()).unknownRegions(tree("anywhere"))).isEmpty();
    }
}
