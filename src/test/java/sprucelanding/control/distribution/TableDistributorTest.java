package sprucelanding.control.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.EndpointState;

class TableDistributorTest {
    private static final BitSet ALL_CLASSES = BitSet.valueOf(new long[] {3});

    @Test
    void bindSendsWholeTableWithAdmissionInOneMessage() {
        DistributorHarness harness = new DistributorHarness(5, 1);
        ProxyUpdate update = harness.updates.get(1);
        assertEquals(1, update.tables().size());
        assertTrue(update.tables().get(0).isFull);
        assertEquals(5, update.tables().get(0).weights.size());
        assertEquals(Set.of(0, 1), update.tables().get(0).admissionByClass.keySet());
        assertEquals(1 + 5 + 2 + 1, update.entryCost());
        assertEquals(harness.countedEntries.get(1), update.entryCost());
    }

    @Test
    void removedEndpointIsNotAddedToTables() {
        DistributorHarness harness = new DistributorHarness(5, 1);
        TableDistributor distributor =
                new TableDistributor(2, endpoint -> false, endpoint -> endpoint.isAvailable());
        harness.endpoints.values().forEach(endpoint -> distributor.setWeight(0, endpoint, 1));
        distributor.proxyJoined(1, true);
        harness.changeState(
                4, EndpointState.DRAINING); // the removal of its entry is not ordered yet
        distributor.bindProxy(0, harness.proxies.get(1), ALL_CLASSES);
        distributor.setWeight(0, harness.endpoints.get(4L), 3);
        distributor.flush(
                update -> {
                    assertEquals(4, update.tables().get(0).weights.size());
                    assertFalse(
                            update.tables().get(0).weights.containsKey(harness.endpoints.get(4L)));
                });
        assertEquals(1, distributor.rejectedEntries());
    }

    @Test
    void changeIsSentOnceToEachProxyBoundToTheTable() {
        DistributorHarness harness = new DistributorHarness(5, 1, 2);
        harness.distributor.proxyJoined(3, true);
        harness.setWeight(0, harness.endpoints.get(4L), 7);
        harness.setWeight(0, harness.endpoints.get(4L), 8);
        harness.setWeight(0, harness.endpoints.get(5L), 9);
        harness.flush();
        assertEquals(Set.of(1, 2), harness.updates.keySet());
        assertEquals(
                List.of(8.0, 9.0),
                List.copyOf(harness.updates.get(1).tables().get(0).weights.values()));
        assertFalse(harness.updates.get(1).tables().get(0).isFull);
        harness.flush();
        assertTrue(harness.updates.isEmpty(), "the change was sent before");
    }

    /** Guards against an update that is lost, or changed at other proxies, while it is held. */
    @Test
    void heldUpdateIsPartOfTheNextOne() {
        DistributorHarness harness = new DistributorHarness(5, 1, 2);
        Map<Integer, ProxyUpdate> first = new HashMap<>();
        harness.distributor.setWeight(0, harness.endpoints.get(4L), 7);
        harness.distributor.setEjected(harness.endpoints.get(5L), true);
        harness.distributor.flush(id -> id == 2, update -> first.put(update.proxyId(), update));
        assertEquals(Set.of(1), first.keySet());
        harness.distributor.setWeight(0, harness.endpoints.get(3L), 9);
        harness.flush();
        assertEquals(List.of(7.0), List.copyOf(weightsOf(first.get(1)).values()));
        assertEquals(List.of(9.0), List.copyOf(weightsOf(harness.updates.get(1)).values()));
        assertEquals(List.of(7.0, 9.0), List.copyOf(weightsOf(harness.updates.get(2)).values()));
        assertEquals(
                List.of(harness.endpoints.get(5L)), List.copyOf(harness.updates.get(2).ejected()));
    }

    private static Map<Endpoint, Double> weightsOf(ProxyUpdate update) {
        return update.tables().get(0).weights;
    }

    @Test
    void changeAfterBindInSameBatchIsPartOfWholeTable() {
        DistributorHarness harness = new DistributorHarness(5, 1);
        harness.bindProxy(0, harness.proxies.get(1), ALL_CLASSES);
        harness.setWeight(0, harness.endpoints.get(2L), 0);
        harness.setAdmission(0, DistributorHarness.SIGN, 0.5, ControllerOutput.RETRY_NEVER);
        harness.flush();
        TableUpdate table = harness.updates.get(1).tables().get(0);
        assertTrue(table.isFull);
        assertEquals(4, table.weights.size());
        assertEquals(
                new TableUpdate.AdmissionLevel(0.5, ControllerOutput.RETRY_NEVER),
                table.admissionByClass.get(1));
    }

    @Test
    void reboundProxyReceivesNoUpdatesOfItsPreviousTable() {
        DistributorHarness harness = new DistributorHarness(5, 1, 2);
        harness.setWeight(0, harness.endpoints.get(3L), 50);
        harness.setWeight(9, harness.endpoints.get(1L), 4);
        harness.bindProxy(9, harness.proxies.get(1), ALL_CLASSES);
        harness.flush();
        assertEquals(1, harness.updates.get(1).tables().size());
        assertEquals(Map.of(1L, 4.0), harness.heldWeights.get(1).get(0));
        assertEquals(50, harness.heldWeights.get(2).get(0).get(3L));
        harness.distributor.clearTable(0);
        harness.flush();
        assertEquals(Set.of(2), harness.updates.keySet());
    }

    @Test
    void eachRequestClassMayUseItsOwnTable() {
        DistributorHarness harness = new DistributorHarness(5, 1);
        harness.setWeight(9, harness.endpoints.get(2L), 4);
        harness.distributor.bindProxy(9, harness.proxies.get(1), BitSet.valueOf(new long[] {2}));
        harness.flush();
        harness.distributor.setWeight(0, harness.endpoints.get(1L), 33);
        harness.distributor.setWeight(9, harness.endpoints.get(1L), 44);
        harness.flush();
        assertEquals(33, harness.heldWeights.get(1).get(0).get(1L));
        assertEquals(44, harness.heldWeights.get(1).get(1).get(1L));
        assertEquals(2, harness.heldWeights.get(1).get(1).size());
    }

    @Test
    void ejectionIsSentToProxiesWithAnEntryOrWithTablesOfAnotherGovernor() {
        DistributorHarness harness = new DistributorHarness(5, 1, 2);
        harness.distributor.setWeight(0, harness.endpoints.get(2L), 0);
        harness.distributor.proxyJoined(3, false);
        harness.flush();
        harness.distributor.setEjected(harness.endpoints.get(2L), true);
        harness.flush();
        assertEquals(Set.of(3), harness.updates.keySet());
        harness.distributor.setEjected(harness.endpoints.get(4L), true);
        harness.flush();
        assertEquals(Set.of(1, 2, 3), harness.updates.keySet());
        harness.distributor.setEjected(harness.endpoints.get(4L), true);
        harness.flush();
        assertTrue(harness.updates.isEmpty(), "all proxies were sent the ejection on this stream");
        harness.distributor.setEjected(harness.endpoints.get(4L), false);
        harness.flush();
        assertEquals(List.of(harness.endpoints.get(4L)), harness.updates.get(1).restored());
        assertEquals(Set.of(1, 2, 3), harness.updates.keySet());
    }

    @Test
    void bindIncludesCurrentEjections() {
        DistributorHarness harness = new DistributorHarness(5, 1);
        harness.distributor.setEjected(harness.endpoints.get(4L), true);
        harness.flush();
        harness.distributor.proxyJoined(1, true);
        harness.distributor.bindProxy(0, harness.proxies.get(1), ALL_CLASSES);
        harness.flush();
        assertEquals(List.of(harness.endpoints.get(4L)), harness.updates.get(1).ejected());
    }

    @Test
    void proxyOfAnotherGovernorIsSentRestorationsOfPossiblyEjectedEndpoints() {
        DistributorHarness harness = new DistributorHarness(12, 1);
        harness.distributor.proxyJoined(1, false);
        harness.distributor.bindProxy(0, harness.proxies.get(1), ALL_CLASSES);
        harness.flush();
        assertEquals(
                List.of(harness.endpoints.get(10L)),
                harness.updates.get(1).restored(),
                "only endpoints that were missing from the list");
        harness.distributor.proxyJoined(1, true);
        harness.distributor.bindProxy(0, harness.proxies.get(1), ALL_CLASSES);
        harness.flush();
        assertTrue(
                harness.updates.get(1).restored().isEmpty(),
                "a proxy without tables holds no ejection");
    }

    @Test
    void acknowledgementIsRequestedOnlyWithAnUpdate() {
        DistributorHarness harness = new DistributorHarness(5, 1, 2);
        harness.distributor.setEjected(harness.endpoints.get(2L), true);
        harness.distributor.requestAcknowledgement(5);
        harness.flush();
        assertEquals(5, harness.updates.get(2).acknowledgementId());
        harness.distributor.requestAcknowledgement(6);
        harness.flush();
        assertTrue(harness.updates.isEmpty());
        harness.distributor.setEjected(harness.endpoints.get(2L), false);
        harness.flush();
        assertEquals(
                ProxyUpdate.NO_ACKNOWLEDGEMENT,
                harness.updates.get(1).acknowledgementId(),
                "an acknowledgement id is valid for one batch");
    }

    @Test
    void departedProxyIsSentNothing() {
        DistributorHarness harness = new DistributorHarness(5, 1);
        harness.distributor.setWeight(0, harness.endpoints.get(2L), 1);
        harness.distributor.proxyLeft(1);
        harness.distributor.bindProxy(0, harness.proxies.get(1), ALL_CLASSES);
        harness.flush();
        assertTrue(harness.updates.isEmpty());
    }

    /**
     * During two minutes of random changes, proxies hold the ordered tables, and no message costs
     * more than the channel counts.
     */
    @Test
    void proxiesHoldOrderedTablesAtTheCountedChannelCost() {
        SplittableRandom random = new SplittableRandom(11);
        DistributorHarness harness = new DistributorHarness(12, 1, 2, 3, 4, 5, 6);
        long nextEndpointId = 13;
        int exactCount = 0;
        for (int second = 0; second < 120; second++) {
            if (random.nextInt(6) == 0) {
                harness.changeState(nextEndpointId - 12, EndpointState.DRAINING);
                harness.changeState(nextEndpointId++, EndpointState.AVAILABLE);
            }
            if (random.nextInt(4) == 0) {
                joinOrLeave(harness, 1 + random.nextInt(6), random);
            }
            for (Map.Entry<Long, ?> entry : harness.endpoints.entrySet()) {
                harness.controller.endpointStatsReported(
                        entry.getKey(), 10 + random.nextInt(30), 0, 50, random.nextDouble());
            }
            harness.advanceOneSecond();
            exactCount += assertCostIsCounted(harness, "second " + second);
            assertProxiesHoldTheirTables(harness);
        }
        assertTrue(
                exactCount > 100,
                "nearly all updates must cost exactly the counted entries: " + exactCount);
    }

    private static void joinOrLeave(
            DistributorHarness harness, int proxyId, SplittableRandom random) {
        if (harness.heldWeights.containsKey(proxyId)) {
            harness.leave(proxyId);
        } else {
            harness.join(proxyId, random.nextBoolean());
        }
    }

    /** Returns how many of the last batch's updates cost exactly what the channel counts. */
    private static int assertCostIsCounted(DistributorHarness harness, String message) {
        int exactCount = 0;
        for (ProxyUpdate update : harness.updates.values()) {
            int counted = harness.countedEntries.get(update.proxyId());
            assertTrue(update.entryCost() <= counted + update.restored().size(), message);
            exactCount += update.entryCost() == counted ? 1 : 0;
        }
        return exactCount;
    }

    private static void assertProxiesHoldTheirTables(DistributorHarness harness) {
        harness.tableByProxy.forEach(
                (proxyId, table) -> {
                    Map<Long, Double> ordered = harness.tables.get(table);
                    assertEquals(ordered, harness.heldWeights.get(proxyId).get(0));
                    assertEquals(ordered, harness.heldWeights.get(proxyId).get(1));
                    assertEquals(
                            harness.tableAdmission.get(table), harness.heldAdmission.get(proxyId));
                });
    }

    @Test
    void restorationsOfABindAreCountedInTheChannel() {
        DistributorHarness harness = new DistributorHarness(8);
        for (long id = 1; id <= 5; id++) {
            harness.changeState(id, EndpointState.GONE);
            harness.changeState(id, EndpointState.AVAILABLE);
        }
        harness.join(3, false);
        for (int second = 0; second < 9 && !harness.updates.containsKey(3); second++) {
            harness.advanceOneSecond();
        }
        ProxyUpdate bind = harness.updates.get(3);
        assertEquals(5, bind.restored().size(), "another governor may have ejected these");
        assertTrue(
                harness.controller.queuedEntries() >= bind.entryCost() + 6,
                harness.controller.queuedEntries()
                        + " queued for "
                        + bind.entryCost()
                        + " and the message overhead");
    }
}
