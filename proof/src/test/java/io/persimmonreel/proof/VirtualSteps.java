package io.persimmonreel.proof;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.membership.MemberState;
import io.persimmonreel.core.order.ReportedModel;
import io.persimmonreel.core.quarantine.Fingerprint;
import io.persimmonreel.core.quarantine.QuarantineDecision;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.experiment.virtual.VirtualDaemon;
import io.persimmonreel.experiment.virtual.VirtualEngine;
import io.persimmonreel.experiment.virtual.VirtualRequest.Ending;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/** Defines the steps that run the decision library of a fleet in virtual time. */
public final class VirtualSteps {
    private static final String MODEL = "kiosk-assistant";
    private static final Duration MINUTE = Duration.ofMinutes(1);

    private final VirtualWorld mWorld;

    /** Creates the world of one scenario. */
    public VirtualSteps() throws IOException {
        mWorld = new VirtualWorld();
    }

    private VirtualDaemon daemon(final int slot) {
        return mWorld.fleet().daemon(slot);
    }

    private static Set<Integer> slots(final String list) {
        return Arrays.stream(list.split(", *")).map(Integer::valueOf).collect(Collectors.toSet());
    }

    @Given("{int} virtual daemons")
    public void start(final int daemons) {
        mWorld.start(daemons);
    }

    @When("{int} s pass")
    public void passSeconds(final int seconds) {
        mWorld.fleet().runFor(Duration.ofSeconds(seconds));
    }

    @When("{int} ms pass")
    public void passMillis(final int millis) {
        mWorld.fleet().runFor(Duration.ofMillis(millis));
    }

    @When("{int} min pass")
    public void passMinutes(final int minutes) {
        mWorld.fleet().runFor(Duration.ofMinutes(minutes));
    }

    @When("virtual daemon {int} is killed")
    public void kill(final int slot) {
        mWorld.fleet().kill(slot);
    }

    @When("virtual daemon(s) {string} is/are restarted")
    public void restart(final String slots) {
        slots(slots).forEach(mWorld.fleet()::start);
    }

    @When("all virtual daemons are replaced, one every {int} s")
    public void replaceAll(final int seconds) {
        for (int slot = 1; slot <= mWorld.daemonCount(); slot++) {
            mWorld.fleet().start(slot);
            passSeconds(seconds);
        }
    }

    @When("virtual daemon(s) {string} is/are paused")
    public void pause(final String slots) {
        slots(slots).forEach(mWorld.fleet()::pause);
    }

    @When("virtual daemon(s) {string} continue(s)")
    public void resume(final String slots) {
        slots(slots).forEach(mWorld.fleet()::resume);
    }

    @When("virtual daemon(s) {string} is/are cut off")
    public void cutOff(final String slots) {
        mWorld.fleet().partition(slots(slots));
    }

    @When("the partition heals")
    public void heal() {
        mWorld.fleet().partition(Set.of());
    }

    @When("{int} % of the messages are lost")
    public void loseMessages(final int percent) {
        mWorld.fleet().setMessageLoss(percent / 100.0);
    }

    @When("the wall clock of virtual daemon {int} jumps by {int} s")
    public void jumpWallClock(final int slot, final int seconds) {
        mWorld.fleet().jumpWallClock(slot, Duration.ofSeconds(seconds));
    }

    @Given("charge {string} has a key without a time")
    public void opaqueKey(final String label) {
        mWorld.setKey(label, "opaque-key-of-" + label);
    }

    @Given("charge {string} has a key issued by virtual daemon {int}")
    public void issuedKey(final String label, final int slot) {
        mWorld.setKey(label, daemon(slot).claims().issueKey());
    }

    @Given("charge {string} has a key that is {int} s ahead")
    public void keyAhead(final String label, final int seconds) {
        mWorld.setKey(label, mWorld.timedKey(Duration.ofSeconds(seconds)));
    }

    @When("charge {string} is sent to virtual daemon {int}")
    public void charge(final String label, final int slot) {
        mWorld.charge(label, slot, Ending.ANSWERED, Duration.ZERO);
    }

    @When("charge {string} is sent to virtual daemon {int} and waits {int} s")
    public void chargeWaits(final String label, final int slot, final int seconds) {
        mWorld.charge(label, slot, Ending.ANSWERED, Duration.ofSeconds(seconds));
    }

    @When("charge {string} is sent to virtual daemon {int} and its upstream connection breaks")
    public void chargeBreaks(final String label, final int slot) {
        mWorld.charge(label, slot, Ending.BROKEN, Duration.ZERO);
    }

    @When("charge {string} is sent to virtual daemon {int} and given up after {int} s")
    public void chargeGivenUp(final String label, final int slot, final int seconds) {
        mWorld.charge(label, slot, Ending.GIVEN_UP, Duration.ofSeconds(seconds));
    }

    @When("charge {string} with another body is sent to virtual daemon {int}")
    public void chargeOther(final String label, final int slot) {
        mWorld.charge(label, slot, "another body", Ending.ANSWERED, Duration.ZERO);
    }

    @Then("charge {string} ran {int} time(s)")
    public void ran(final String label, final int times) {
        assertThat(mWorld.countRuns(label)).isEqualTo(times);
    }

    @Then("caller {int} of {string} is told {word}")
    public void callerIsTold(final int number, final String label, final String outcome) {
        assertThat(mWorld.request(label, number).outcome().map(Outcome::label).orElse("nothing"))
                .as(mWorld.request(label, number).detail())
                .isEqualTo(outcome);
    }

    @Then("caller {int} of {string} gets {string}")
    public void callerGets(final int number, final String label, final String text) {
        assertThat(mWorld.request(label, number).detail()).contains(text);
    }

    @Then("every caller was told the truth and no charge ran twice")
    public void noViolations() {
        assertThat(mWorld.fleet().violations()).isEmpty();
    }

    @When("version {int} is published")
    public void publish(final int version) {
        mWorld.fleet().platform().publish(version, mWorld.operatorText(version));
    }

    @When("version {int} is published with a fault")
    public void publishFaulty(final int version) {
        final String text = mWorld.operatorText(version).replace("tier: bulk", "tier: unheard-of");
        mWorld.fleet().platform().publish(version, text);
    }

    @When("the virtual platform is down")
    public void takePlatformDown() {
        mWorld.fleet().platform().setDown(true);
    }

    @When("the virtual platform is back")
    public void restorePlatform() {
        mWorld.fleet().platform().setDown(false);
        mWorld.fleet().platform().serveAtMost(Long.MAX_VALUE);
        mWorld.fleet().platform().setHostListDelay(Duration.ZERO);
    }

    @When("the virtual platform serves version {int} only")
    public void serveVersionOnly(final int version) {
        mWorld.fleet().platform().serveAtMost(version);
    }

    @When("the host list is {int} s late")
    public void delayHostList(final int seconds) {
        mWorld.fleet().platform().setHostListDelay(Duration.ofSeconds(seconds));
    }

    @Then("version {int} is in force on virtual daemons {string}")
    public void inForce(final int version, final String slots) {
        assertThat(slots(slots))
                .allSatisfy(
                        slot ->
                                assertThat(daemon(slot).configurationState().version())
                                        .isEqualTo(version));
    }

    @Then("no virtual daemon ever reverted")
    public void neverReverted() {
        assertThat(mWorld.fleet().daemons())
                .allSatisfy(
                        d ->
                                assertThat(d.acceptedVersions())
                                        .isSorted()
                                        .doesNotHaveDuplicates()
                                        .isNotEmpty());
    }

    @Then("version {int} is rejected on virtual daemons {string} with the same findings")
    public void rejected(final int version, final String slots) {
        final List<List<ConfigurationState.Rejection>> rejections =
                slots(slots).stream()
                        .map(slot -> daemon(slot).configurationState().rejections())
                        .toList();
        assertThat(rejections.get(0)).extracting(r -> r.version()).contains((long) version);
        assertThat(rejections).allMatch(rejections.get(0)::equals);
    }

    @Then("virtual daemon {int} is not ready and says what it waits for")
    public void notReady(final int slot) {
        assertThat(daemon(slot).startup().isReady()).isFalse();
        assertThat(daemon(slot).startup().waitingFor()).isNotEmpty();
    }

    @Then("virtual daemon {int} is ready")
    public void ready(final int slot) {
        assertThat(daemon(slot).startup().waitingFor()).isEmpty();
    }

    @When("the host of virtual daemon {int} is listed as leaving")
    public void listHostLeaving(final int slot) {
        mWorld.fleet().listHost(slot, true);
    }

    @When("the host of virtual daemon {int} is missing in the list")
    public void unlistHost(final int slot) {
        mWorld.fleet().unlistHost(slot);
    }

    @Then("the daemons {string} see virtual daemon {int} as {word}")
    public void seeState(final String slots, final int slot, final String state) {
        final MemberState expected = MemberState.valueOf(state.toUpperCase(Locale.ROOT));
        assertThat(slots(slots))
                .allSatisfy(
                        s -> assertThat(daemon(s).membership().stateOf(slot)).isEqualTo(expected));
    }

    @Then("the daemons {string} give no new work to virtual daemon {int}")
    public void giveNoNewWork(final String slots, final int slot) {
        assertThat(slots(slots))
                .allSatisfy(
                        s ->
                                assertThat(daemon(s).membership().isLeaving(daemon(slot).self()))
                                        .isTrue());
    }

    @Given("{int} engines of which {int} ignore the fencing number")
    public void addEngines(final int count, final int ignoring) {
        for (int i = 1; i <= count; i++) {
            mWorld.fleet().addEngine("assistant-" + i, i > ignoring);
        }
    }

    @When("version {int} with model version {string} is published")
    public void publishModel(final int version, final String modelVersion) {
        mWorld.fleet().platform().publish(version, mWorld.operatorText(version, modelVersion));
    }

    @When("the orders of virtual daemons {string} are delayed by {int} s")
    public void delayOrders(final String slots, final int seconds) {
        slots(slots).forEach(s -> daemon(s).delayOrders(Duration.ofSeconds(seconds)));
    }

    @When("engine {int} crashes")
    public void crashEngine(final int number) {
        mWorld.fleet().engines().get(number - 1).crash();
    }

    @Then("all engines run model version {string} with fence {int}")
    public void enginesRun(final String modelVersion, final int fence) {
        assertThat(mWorld.fleet().engines())
                .extracting(VirtualEngine::report)
                .allSatisfy(
                        r ->
                                assertThat(r)
                                        .isEqualTo(
                                                new ReportedModel(
                                                        r.replica(), MODEL, modelVersion, fence)));
    }

    @Then("no engine that checks fences took a lower one")
    public void fencesNeverFall() {
        assertThat(mWorld.fleet().engines().stream().filter(VirtualEngine::checksFence))
                .allSatisfy(
                        e ->
                                assertThat(
                                                e.orders().stream()
                                                        .filter(VirtualEngine.Order::accepted))
                                        .extracting(VirtualEngine.Order::fence)
                                        .isSorted());
    }

    @Then("at most {int} loads began in any minute")
    public void loadsAreLimited(final int most) {
        final List<Long> loads =
                mWorld.fleet().engines().stream()
                        .flatMap(e -> e.orders().stream())
                        .filter(VirtualEngine.Order::startedLoad)
                        .map(VirtualEngine.Order::arrivalNanos)
                        .sorted()
                        .toList();
        assertThat(loads)
                .allSatisfy(
                        start ->
                                assertThat(loads)
                                        .filteredOn(t -> t >= start)
                                        .filteredOn(t -> t - start < MINUTE.toNanos())
                                        .hasSizeLessThanOrEqualTo(most));
    }

    @When("replica {string} crashes while virtual daemon {int} runs {string} on it")
    public void replicaCrashes(final String replica, final int slot, final String contents) {
        final List<Fingerprint> fingerprints =
                Arrays.stream(contents.split("; *")).map(VirtualSteps::fingerprint).toList();
        final long now = daemon(slot).time().monotonicNanos();
        fingerprints.forEach(p -> daemon(slot).quarantine().onDispatched(p, replica));
        assertThat(fingerprints)
                .noneMatch(
                        p ->
                                daemon(slot)
                                        .quarantine()
                                        .decision(p, now)
                                        .kind()
                                        .equals(QuarantineDecision.Kind.QUARANTINED));
        daemon(slot).reportReplicaCrash(replica, fingerprints);
        passSeconds(1);
    }

    /**
     * Returns the fingerprint of a long text that is generated from the part of the content before
     * "+". The part after it is appended, as a small change of the text.
     */
    private static Fingerprint fingerprint(final String content) {
        final String[] parts = content.split("\\+", 2);
        final Random random = new Random(parts[0].hashCode());
        final StringBuilder text = new StringBuilder(parts[0]);
        for (int i = 0; i < 300; i++) {
            text.append(' ').append(Integer.toString(random.nextInt(100_000), 36));
        }
        text.append(parts.length > 1 ? parts[1] : "");
        return Fingerprint.of("booking-reply", text.toString().getBytes(StandardCharsets.UTF_8));
    }

    @Then("{string} is {word} on virtual daemons {string}")
    public void decisionIs(final String content, final String kind, final String slots) {
        final QuarantineDecision.Kind expected =
                QuarantineDecision.Kind.valueOf(kind.toUpperCase(Locale.ROOT));
        assertThat(slots(slots))
                .allSatisfy(
                        s ->
                                assertThat(decision(content, s).kind())
                                        .as("on daemon " + s)
                                        .isEqualTo(expected));
    }

    private QuarantineDecision decision(final String content, final int slot) {
        return daemon(slot)
                .quarantine()
                .decision(fingerprint(content), daemon(slot).time().monotonicNanos());
    }

    @Then("{string} may not run on replica {string} by virtual daemon {int}")
    public void replicaIsExcluded(final String content, final String replica, final int slot) {
        assertThat(decision(content, slot).excludedReplicas()).contains(replica);
    }
}
