package io.persimmonreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

class EventPublisherTest {
    private final AtomicLong mNanos = new AtomicLong();
    private final AtomicInteger mDisconnects = new AtomicInteger();
    private final EventPublisher mEvents =
            new EventPublisher(Runnable::run, mNanos::get, mDisconnects::incrementAndGet);

    /** Receives as many events as the test requests. */
    private static final class ManualSubscriber implements Subscriber<String> {
        private final List<String> mReceived = new ArrayList<>();
        private Subscription mSubscription;
        private boolean mComplete;

        @Override
        public void onSubscribe(final Subscription subscription) {
            mSubscription = subscription;
        }

        @Override
        public void onNext(final String event) {
            mReceived.add(event);
        }

        @Override
        public void onError(final Throwable error) {
            throw new AssertionError(error);
        }

        @Override
        public void onComplete() {
            mComplete = true;
        }
    }

    @Nested
    class SlowCallers {
        /** Guards against closing the connection of a caller that reads slowly but steadily. */
        @Test
        void slowCallerKeepsItsConnection() {
            final ManualSubscriber caller = new ManualSubscriber();
            mEvents.subscribe(caller);
            caller.mSubscription.request(1);
            mEvents.publish("token", "0");
            mEvents.publish("token", "1");
            mEvents.complete();
            mNanos.addAndGet(EventPublisher.MAXIMUM_STALL_NANOS);
            assertThat(mEvents.checkStall()).isFalse();
            caller.mSubscription.request(1);
            assertThat(caller.mComplete).isTrue();
            assertThat(caller.mReceived).hasSize(2);
            assertThat(mDisconnects).hasValue(0);
        }

        @Test
        void stalledCallerIsDisconnected() {
            final ManualSubscriber caller = new ManualSubscriber();
            mEvents.subscribe(caller);
            mEvents.publish("token", "0");
            mNanos.addAndGet(EventPublisher.MAXIMUM_STALL_NANOS + 1);
            assertThat(mEvents.checkStall()).isTrue();
            assertThat(mDisconnects).hasValue(1);
        }

        /** Guards against an unread answer that fills the daemon's memory. */
        @Test
        void callerIsDisconnectedWhenTheBufferIsFull() {
            mEvents.subscribe(new ManualSubscriber());
            final String data = "x".repeat(EventPublisher.MAXIMUM_BUFFERED_CHARS / 2);
            mEvents.publish("token", data);
            assertThat(mDisconnects).hasValue(0);
            mEvents.publish("token", data);
            assertThat(mDisconnects).hasValue(1);
        }
    }
}
