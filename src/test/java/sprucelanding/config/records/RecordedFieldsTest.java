package sprucelanding.config.records;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import org.junit.jupiter.api.Test;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.recorded.Recorded;
import sprucelanding.simulation.expectation.Expectations;
import sprucelanding.simulation.experiment.Experiment;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Fields of the configuration files. They are bound by the names of record components, and a
 * component that no field is named after silently gets a default, so each name has to stay unless
 * the binding changes. Recordings are written with {@code -Drecorded.write=true} only and never
 * edited later: a difference is a defect of the step.
 */
class RecordedFieldsTest {
    @Test
    void componentsAreNamedAsTheFieldsOfTheFiles() throws Exception {
        StringBuilder fields = new StringBuilder();
        append(fields, "station", GovernorConfig.class);
        append(fields, "day", Scenario.class);
        append(fields, "lab", Experiment.class);
        append(fields, "expect", Expectations.class);
        Recorded.assertText("reports/configuration-fields.txt", fields.toString());
    }

    private static void append(StringBuilder fields, String path, Type type) {
        Class<?> plain =
                (Class<?>)
                        (type instanceof ParameterizedType generic ? generic.getRawType() : type);
        if (type instanceof ParameterizedType list) {
            append(fields, path + "[]", list.getActualTypeArguments()[0]);
        } else if (plain.isRecord()) {
            for (RecordComponent component : plain.getRecordComponents()) {
                append(fields, path + "." + component.getName(), component.getGenericType());
            }
        } else {
            fields.append(path).append(' ').append(plain.getSimpleName()).append('\n');
        }
    }
}
