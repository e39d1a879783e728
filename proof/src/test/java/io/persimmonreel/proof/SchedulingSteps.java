package io.persimmonreel.proof;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.persimmonreel.core.service.Tier;

/** Defines the steps that run the schedulers of several daemons in virtual time. */
public final class SchedulingSteps {
    private static final int STEPS_PER_SECOND = 100;
    private static final int REPLY_TOKENS = 100;

    private SchedulingWorld mWorld;
    private int mDaemons;

    @Given("{int} schedulers over 12 engines of one slot each")
    public void start(final int daemons) throws Exception {
        mDaemons = daemons;
        mWorld = new SchedulingWorld(daemons);
    }

    @When("{int} reports of {int} tokens are offered to each scheduler")
    public void offerReports(final int count, final int tokens) {
        for (int i = 0; i < count * mDaemons; i++) {
            mWorld.offer(1 + i % mDaemons, "shift-report", tokens);
        }
    }

    @When("{int} urgent replies a second are offered to scheduler 1 for {int} s")
    public void offerReplies(final int perSecond, final int seconds) {
        for (int i = 0; i < perSecond * seconds; i++) {
            mWorld.offer(1, "booking-reply", REPLY_TOKENS);
            mWorld.run(STEPS_PER_SECOND / perSecond);
        }
    }

    @When("the schedulers run for {int} s")
    public void run(final int seconds) {
        mWorld.run(seconds * STEPS_PER_SECOND);
    }

    @When("scheduler {int} dies")
    public void kill(final int slot) {
        mWorld.kill(slot);
    }

    @When("engines {int} to {int} crash")
    public void crash(final int first, final int last) {
        for (int i = first; i <= last; i++) {
            mWorld.crash("assistant-" + i);
        }
    }

    @Then("urgent work was refused, and never while lower work ran")
    public void urgentRefusedOnlyWithoutLower() {
        assertThat(mWorld.refused(Tier.URGENT)).isPositive();
        assertThat(mWorld.violations()).isEmpty();
    }

    @Then("at least {int} urgent replies ended")
    public void repliesEnded(final int least) {
        assertThat(mWorld.answered(Tier.URGENT)).isGreaterThanOrEqualTo(least);
    }

    @Then("all {int} reports ended and none was refused")
    public void reportsEnded(final int count) {
        assertThat(mWorld.refused(Tier.BULK)).isZero();
        assertThat(mWorld.answered(Tier.BULK)).isEqualTo(count);
    }
}
