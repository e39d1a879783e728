package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DirectoryObserverTest {
    private final RestoreFixture mDaemon = new RestoreFixture(new VirtualTimers());
    private final List<String> mEntries = new ArrayList<>();

    @BeforeEach
    void observe() {
        mDaemon.state()
                .observe(
                        new DirectoryObserver() {
                            @Override
                            public void onEntry(final ReplicaEntry entry) {
                                mEntries.add(entry.id() + (entry.draining() ? "-" : "+"));
                            }
                        });
        change(1, "r1", "ready 1 17");
    }

    @AfterEach
    void close() {
        mDaemon.close();
    }

    private void change(final long revision, final String... pairs) {
        mDaemon.state()
                .applyChanges(new DirectoryVersion(0, revision), RestoreFixture.documents(pairs));
    }

    @Test
    void isToldOfAnEntryThatIsRemovedInTheSameChange() {
        change(2, "r2", "ready 1 18", "r2", null);
        assertThat(mEntries).containsExactly("r1+", "r2+");
    }

    /** Guards against entries that pile up until the next change of the replicas. */
    @Test
    void isNotToldOfAWriteThatChangesNothing() {
        change(2, "r1", "ready 2 17");
        change(3, "r1", "draining 3 17");
        assertThat(mEntries).containsExactly("r1+", "r1-");
    }
}
