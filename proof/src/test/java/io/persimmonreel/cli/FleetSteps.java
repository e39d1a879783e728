package io.persimmonreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.persimmonreel.daemon.DaemonState;
import io.persimmonreel.fakes.FakePlainService;
import io.persimmonreel.fakes.FakeServer;
import io.persimmonreel.fakes.Fault;
import io.persimmonreel.fakes.HostEntry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Defines the steps that use real daemons, fake upstreams and a fake platform on loopback. */
public final class FleetSteps {
    private static final int PROBES_PER_DAEMON = 12;
    private static final long PROBE_INTERVAL_MILLIS = 15;
    private static final Duration ENGINE_DOWNTIME = Duration.ofSeconds(1);
    private static final long MAXIMUM_STOP_SECONDS = 40;

    private final FleetWorld mWorld = new FleetWorld();
    private CompletableFuture<Boolean> mStopped;
    private int mProbeCount;

    /** Stops the fleet of the scenario. */
    @After
    public void close() {
        mWorld.close();
    }

    private DaemonState state(final int slot) {
        return mWorld.fleet().daemon(slot).state();
    }

    private static Set<Integer> slots(final String list) {
        return Arrays.stream(list.split(", *")).map(Integer::valueOf).collect(Collectors.toSet());
    }

    private static String body(final String label) {
        return "{\"booking\":\"" + label + "\",\"amount\":100}";
    }

    private static Call draft(final String service, final String label, final int tokens) {
        return Call.engine(service, "", label + " tokens=" + tokens, tokens, true);
    }

    @Given("a fleet of {int} daemons")
    public void start(final int daemons) throws Exception {
        mWorld.start(daemons);
        mWorld.await(
                "all daemons know each other",
                () -> mWorld.fleet().daemon(daemons).state().members().size() == daemons);
    }

    @Given("charge {string} has a key issued by daemon {int}")
    public void issuedKey(final String label, final int slot) throws Exception {
        mWorld.issueKey(label, slot);
    }

    @When("charge {string} is sent to daemon {int}")
    public void charge(final String label, final int slot) {
        mWorld.send(label, slot, Call.plain("charge", body(label), mWorld.key(label)));
    }

    @When("charge {string} is sent to daemon {int} with a deadline of {int} ms")
    public void chargeWithDeadline(final String label, final int slot, final int millis) {
        final Call call = Call.plain("charge", body(label), mWorld.key(label));
        mWorld.send(
                label,
                slot,
                call.withHeaders(List.of("Persimmonreel-Deadline", String.valueOf(millis))));
    }

    @When("lookup {string} is sent to daemon {int}")
    public void lookup(final String label, final int slot) {
        mWorld.send(label, slot, Call.plain("booking-lookup", body(label), ""));
    }

    @When("{int} lookups {string} are sent to daemon {int}")
    public void lookups(final int count, final String label, final int slot) {
        for (int i = 0; i < count; i++) {
            mWorld.send(label, slot, Call.plain("booking-lookup", body(label + i), ""));
        }
    }

    @When("draft {string} of {int} tokens is sent to daemon {int}")
    public void draft(final String label, final int tokens, final int slot) {
        mWorld.send(label, slot, draft("wash-guidance", label, tokens));
    }

    @When("report {string} of {int} tokens is sent to daemon {int}")
    public void report(final String label, final int tokens, final int slot) {
        mWorld.send(label, slot, draft("shift-report", label, tokens));
    }

    @When("{int} drafts {string} of {int} tokens are sent to daemon {int}")
    public void drafts(final int count, final String label, final int tokens, final int slot) {
        for (int i = 0; i < count; i++) {
            mWorld.send(label, slot, draft("wash-guidance", label + " number " + i, tokens));
        }
    }

    @Given("each replica of {word} shows {word} once")
    public void fault(final String upstream, final String kind) {
        mWorld.addFault(upstream, Fault.of(Fault.Kind.valueOf(kind)));
    }

    @Given("each replica of {word} shows {word} once after {int} tokens")
    public void faultAfter(final String upstream, final String kind, final int tokens) {
        mWorld.addFault(upstream, Fault.of(Fault.Kind.valueOf(kind)).withAfter(tokens));
    }

    @Given("each replica of {word} answers {int} ms late once")
    public void answerLate(final String upstream, final int millis) {
        mWorld.addFault(upstream, Fault.of(Fault.Kind.LATE_ANSWER).withMillis(millis));
    }

    @Given("each replica of {word} crashes on {string}")
    public void crashOn(final String upstream, final String text) {
        mWorld.addFault(
                upstream,
                Fault.of(Fault.Kind.CRASH_ON)
                        .withText(text)
                        .withMillis(ENGINE_DOWNTIME.toMillis()));
    }

    @When("all replicas of {word} are stopped")
    public void stopReplicas(final String upstream) {
        mWorld.replicas(upstream).forEach(FakeServer::stop);
    }

    @When("the replicas that run a draft crash")
    public void crashBusyEngines() {
        mWorld.fleet().upstreams().engines().values().stream()
                .filter(engine -> !engine.stats().runs().isEmpty())
                .forEach(engine -> engine.crash(ENGINE_DOWNTIME));
    }

    @When("daemon {int} is killed")
    public void kill(final int slot) {
        mWorld.fleet().kill(slot);
    }

    @When("daemon {int} is restarted with empty memory")
    public void restart(final int slot) throws Exception {
        mWorld.fleet().kill(slot);
        mWorld.fleet().startDaemon(slot);
        mWorld.awaitReady();
    }

    @When("daemon {int} is stopped")
    public void stop(final int slot) throws InterruptedException {
        final var daemon = mWorld.fleet().daemon(slot);
        mStopped = mWorld.runInBackground(daemon::stop);
        mWorld.await("the daemon is leaving", () -> !daemon.waitingFor().isEmpty());
    }

    @When("daemon(s) {string} is/are cut off")
    public void cutOff(final String slots) {
        mWorld.fleet().partition(slots(slots));
    }

    @When("the links are restored")
    public void restoreLinks() {
        mWorld.fleet().partition(Set.of());
    }

    @When("charge {string} has begun to run")
    public void awaitRunOfCharge(final String label) throws InterruptedException {
        final String key = mWorld.key(label);
        mWorld.await(
                "a run of the charge",
                () -> mWorld.fleet().upstreams().runsByKey().containsKey(key));
    }

    @When("{int} request(s) has/have begun to run")
    public void awaitRuns(final int count) throws InterruptedException {
        mWorld.await(
                "enough runs", () -> mWorld.fleet().upstreams().runsByRequestId().size() >= count);
    }

    @When("the answer(s) to {string} has/have arrived")
    public void awaitAnswers(final String label) throws InterruptedException {
        mWorld.answers(label);
    }

    @When("replica {string} is listed as leaving")
    public void listReplicaLeaving(final String replica) throws InterruptedException {
        final FakePlainService service = mWorld.fleet().upstreams().plainServices().get(replica);
        final List<HostEntry> hosts = new ArrayList<>(mWorld.fleet().hosts());
        hosts.add(new HostEntry(-1, service.address(), "lahore", "leaving"));
        mWorld.fleet().platform().publishHosts(hosts);
        mWorld.await("the daemons avoid " + replica, () -> isAvoided(service));
    }

    @When("daemon {int} is listed as leaving")
    public void listLeaving(final int slot) throws InterruptedException {
        final List<HostEntry> hosts =
                mWorld.fleet().hosts().stream()
                        .map(host -> host.slot() == slot ? host.leaving() : host)
                        .toList();
        mWorld.fleet().platform().publishHosts(hosts);
        mWorld.await("daemon " + slot + " reads the list", () -> state(slot).draining());
    }

    @When("daemon {int} is listed as live again")
    public void listLive(final int slot) throws InterruptedException {
        mWorld.fleet().platform().publishHosts(mWorld.fleet().hosts());
        mWorld.await("daemon " + slot + " reads the list", () -> !state(slot).draining());
    }

    /**
     * Sends lookups to all daemons; returns whether all were answered and none ran on a service.
     */
    private boolean isAvoided(final FakePlainService service) {
        final int before = service.runs().byRequestId().size();
        try {
            return answersLookups(PROBES_PER_DAEMON)
                    && service.runs().byRequestId().size() == before;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Sends lookups to each daemon, one at a time to stay below the customer's quota, and returns
     * whether all were answered.
     */
    private boolean answersLookups(final int count) throws InterruptedException {
        boolean answered = true;
        for (int i = 0; i < count; i++) {
            for (int slot = 1; mWorld.fleet().daemon(slot) != null; slot++) {
                final String label = "probe " + ++mProbeCount;
                lookup(label, slot);
                answered &= mWorld.answer(label, 1).isGood();
                TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
            }
        }
        return answered;
    }

    @Then("replica {string} gets none of {int} lookups to each daemon")
    public void replicaIsAvoided(final String replica, final int count)
            throws InterruptedException {
        final FakePlainService service = mWorld.fleet().upstreams().plainServices().get(replica);
        final int before = service.runs().byRequestId().size();
        assertThat(answersLookups(count)).as("all lookups were answered").isTrue();
        assertThat(service.runs().byRequestId()).hasSize(before);
    }

    @When("the faults of {word} are cleared")
    public void clearFaults(final String upstream) {
        mWorld.addFault(upstream, Fault.of(Fault.Kind.CLEAR));
    }

    @When("the platform is down")
    public void platformDown() {
        mWorld.fleet().platform().setDown(true);
    }

    @When("the platform serves version {int} only")
    public void serveVersionOnly(final int version) {
        mWorld.fleet().platform().serveAtMost(version);
    }

    @When("the operators publish edit {int}")
    public void publish(final int version) throws Exception {
        mWorld.fleet().platform().publish(version, operatorText() + "# edit " + version + "\n");
    }

    @When("the operators publish edit {int} with a fault")
    public void publishFaulty(final int version) throws Exception {
        final String faulty = operatorText().replace("tier: bulk", "tier: unheard-of");
        mWorld.fleet().platform().publish(version, faulty);
    }

    private String operatorText() throws Exception {
        return mWorld.fleet().upstreams().replaceAddresses(DemoOperatorText.read(3));
    }

    @Then("edit {int} comes into force on daemons {string}")
    public void inForce(final int version, final String slots) throws InterruptedException {
        for (final int slot : slots(slots)) {
            mWorld.await("version " + version, () -> state(slot).configVersion() == version);
        }
    }

    @Then("edit {int} is reported as rejected on daemons {string}")
    public void rejected(final int version, final String slots) throws InterruptedException {
        for (final int slot : slots(slots)) {
            mWorld.await(
                    "version " + version + " is rejected",
                    () ->
                            state(slot).rejected().stream()
                                    .anyMatch(r -> r.startsWith(version + ":")));
        }
    }

    @Then("answer {int} to {string} is whole and the caller's own")
    public void isWhole(final int number, final String label) throws InterruptedException {
        assertThat(mWorld.answer(label, number)).matches(Answer::isGood, "is whole");
    }

    @Then("all answers to {string} are whole and the callers' own")
    public void allAreWhole(final String label) throws InterruptedException {
        assertThat(mWorld.answers(label)).allMatch(Answer::isGood);
    }

    @Then("each answer to {string} is whole and the caller's own, or is a reported failure")
    public void areWholeOrFailed(final String label) throws InterruptedException {
        assertThat(mWorld.answers(label))
                .allMatch(a -> a.isGood() || !a.type().isEmpty() && a.fault().isEmpty());
    }

    @Then("answer {int} to {string} is the outcome {word}")
    public void outcome(final int number, final String label, final String outcome)
            throws InterruptedException {
        final Answer answer = mWorld.answer(label, number);
        assertThat(answer.outcome()).as(answer.toString()).isEqualTo(outcome);
    }

    @Then("charge {string} ran {int} time(s) upstream")
    public void ran(final String label, final int times) {
        assertThat(mWorld.fleet().upstreams().runsByKey().getOrDefault(mWorld.key(label), 0))
                .isEqualTo(times);
    }

    @Then("no request was dispatched twice")
    public void notDispatchedTwice() {
        assertThat(mWorld.fleet().upstreams().runsByRequestId()).isNotEmpty();
        assertThat(mWorld.fleet().upstreams().runsByRequestId().values()).containsOnly(1);
    }

    @Then("the requests {string} ran on at most {int} replicas")
    public void ranOnAtMost(final String label, final int most) throws InterruptedException {
        assertThat(mWorld.countReplicasThatRan(label)).isBetween(1L, (long) most);
    }

    @Then("the daemon stopped after all its requests had ended")
    public void stopped() throws Exception {
        assertThat(mStopped.get(MAXIMUM_STOP_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
}
