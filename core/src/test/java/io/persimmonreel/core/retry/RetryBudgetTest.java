package io.persimmonreel.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    /** The retries of all daemons stay within the share of requests plus the slack of a window. */
    @Test
    void keepsTheFleetWithinItsBudget() {
        final int daemons = 6;
        int retries = 0;
        for (int i = 0; i < daemons; i++) {
            final RetryBudget budget = new RetryBudget(0.2, 52);
            budget.configure(0.2, 52, daemons);
            for (int request = 0; request < 100; request++) {
                budget.onRequest("app");
                while (budget.take("app")) {
                    retries++;
                }
            }
        }
        assertThat(retries).isBetween(60, (int) (0.2 * 100 * daemons + 52));
    }

    /** Processes that start again do not use the slack of the fleet again. */
    @Test
    void keepsTheFleetWithinItsBudgetIfAllDaemonsRestart() {
        final int daemons = 6;
        final int runs = 3;
        int retries = 0;
        for (int i = 0; i < daemons * runs; i++) {
            final RetryBudget budget = new RetryBudget(0.2, 52);
            budget.configure(0.2, 52, daemons);
            if (i >= daemons) {
                budget.withholdSlack();
            }
            for (int request = 0; request < 10; request++) {
                budget.onRequest("app");
                while (budget.take("app")) {
                    retries++;
                }
            }
        }
        assertThat(retries).isBetween(40, (int) (0.2 * 10 * daemons * runs + 52));
    }

    @Test
    void hasItsPartOfTheSlackOnceTheWindowHasPassed() {
        final RetryBudget budget = new RetryBudget(0.2, 8);
        budget.withholdSlack();
        assertThat(budget.take("app")).isFalse();
        budget.grantSlack();
        assertThat(budget.left("app")).isEqualTo(6);
    }

    @Test
    void isSeparateForEachUpstream() {
        final RetryBudget budget = new RetryBudget(0.2, 4);
        while (budget.take("a")) {
            continue;
        }
        assertThat(budget.take("b")).isTrue();
        assertThat(budget.left("a")).isLessThan(1);
    }

    /** A daemon that learns of more peers loses the retries above its smaller part of the slack. */
    @Test
    void shrinksWithTheSizeOfTheFleet() {
        final RetryBudget budget = new RetryBudget(0.2, 80);
        budget.onRequest("a");
        budget.configure(0.2, 80, 20);
        int retries = 0;
        while (budget.take("a")) {
            retries++;
        }
        assertThat(retries).isEqualTo(3);
    }
}
