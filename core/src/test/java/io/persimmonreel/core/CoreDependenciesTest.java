package io.persimmonreel.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against decision logic in this module that uses I/O, a real clock or threads. */
class CoreDependenciesTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.persimmonreel.core");

    @Nested
    class CoreClasses {
        @Test
        void useNoIoFrameworks() {
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("ratpack..", "io.netty..", "java.net.http..")
                    .check(CLASSES);
        }

        @Test
        void useNoClocksOrThreads() {
            noClasses()
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(java.time.Instant.class, "now")
                    .orShould()
                    .callConstructor(Thread.class, Runnable.class)
                    .check(CLASSES);
        }
    }
}
